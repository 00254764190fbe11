/*
 * The quorum group changes its member list while a planner revokes a lease. Time plays no part here.
 *
 * Checked: once the planner counts the revocation as acknowledged, no dispatcher can obtain a majority that confirms
 * the old lease, under whichever member list it knows. lease.pml builds on this.
 *
 * Each guard can be removed with -D and the name in capitals at its place; the check must then fail.
 */
#define VMS 4
/* The script checks two changes without a loss, and one change with a loss. */
#ifndef CHANGES
#define CHANGES 2
#endif
#ifndef LOSSES
#define LOSSES 0
#endif

typedef List { bool has[VMS]; byte size };
List list[3];           /* the member lists, in the order in which they are written to the store */
byte newest;            /* the index of the store's list */
bool revoked;           /* the revocation is in the store */

byte knows_list[VMS];   /* the newest list a VM has */
byte read_list[VMS];    /* the newest list that a store read has shown it; it had everything older by then */
bool knows_revocation[VMS];
bool lost[VMS];         /* restarted or stopped: its incarnation never answers again */
byte losses;

byte planner_list;      /* the list the planner knows; other planners may have changed it since */
bool fresh;             /* the planner read the store after the revocation */
bool acked[VMS];
bool acknowledged;      /* the planner counts the revocation as acknowledged */

#define MAJORITY(l) (list[l].size / 2 + 1)

inline count(v, n, condition) {
	n = 0; v = 0;
	do
	:: v < VMS -> n = n + (condition -> 1 : 0); v++
	:: else -> break
	od
}

/* Operators' programs change the list one member at a time, by CAS. */
proctype Changer() {
	byte v, n, w;
	do
	:: atomic { !acknowledged && newest < CHANGES ->
#ifndef CHANGE_BEFORE_MAJORITY
		if
		:: newest > 0 -> count(v, n, list[newest - 1].has[v] && (knows_list[v] >= newest || lost[v]));
			if :: n >= MAJORITY(newest - 1) :: else -> goto again fi
		:: else
		fi;
#endif
		select(w : 0 .. 3);
		if :: !lost[w] || list[newest].has[w] :: else -> goto again fi;
		v = 0;
		do
		:: v < VMS -> list[newest + 1].has[v] = (v == w -> !list[newest].has[v] : list[newest].has[v]); v++
		:: else -> break
		od;
#ifdef TWO_MEMBERS_AT_ONCE
		list[newest + 1].has[(w + 1) % VMS] = !list[newest + 1].has[(w + 1) % VMS];
#endif
		count(v, n, list[newest + 1].has[v]);
		list[newest + 1].size = n;
		if :: n > 0 -> newest++ :: else fi;
again:		v = 0; n = 0; w = 0 }
	od
}

proctype Member(byte v) {
	do
	:: d_step { !acknowledged && !lost[v] && (read_list[v] < newest || knows_revocation[v] < revoked) ->
		knows_list[v] = newest; read_list[v] = newest; knows_revocation[v] = revoked }
	/* It hears of the list from another process. */
	:: d_step { !acknowledged && !lost[v] && knows_list[v] < newest -> knows_list[v]++ }
	:: d_step { !acknowledged && !lost[v] && losses < LOSSES -> losses++; lost[v] = true; knows_list[v] = 0; read_list[v] = 0;
		knows_revocation[v] = false }
	/* The planner's install reaches it. Its acknowledgement names its list; with a newer one the planner starts again. */
	:: d_step { revoked && !acknowledged && list[planner_list].has[v] && !lost[v] && !acked[v] ->
		acked[v] = true; knows_revocation[v] = true;
		if
		:: knows_list[v] < planner_list -> knows_list[v] = planner_list
#ifndef IGNORE_NEWER_LIST
		:: knows_list[v] > planner_list -> planner_list = knows_list[v]
#endif
		:: else
		fi }
	od
}

/* A member confirms the old lease to a dispatcher that knows list l. */
#ifdef RESTARTED_VOUCHES
#define ANSWERS(v) true
#else
#define ANSWERS(v) !lost[v]
#endif
#ifdef VOUCH_BEFORE_READ
#define HAS_READ(v) true
#else
#define HAS_READ(v) (lost[v] || read_list[v] == knows_list[v])
#endif
#ifdef VOUCH_UNDER_OTHER_LIST
#define SAME_LIST(v, l) true
#else
#define SAME_LIST(v, l) (lost[v] || knows_list[v] == l)
#endif
#define VOTES(v, l) (list[l].has[v] && !knows_revocation[v] && ANSWERS(v) && HAS_READ(v) && SAME_LIST(v, l))

/*
 * From the acknowledgement on, members only learn more, which takes votes away. So it is enough to look at that moment:
 * under no list that was ever written may a majority vote for the old lease.
 */
inline check(l, v, n) {
	l = 0;
	do
	:: l <= newest ->
		count(v, n, VOTES(v, l));
		assert(n < MAJORITY(l));
		l++
	:: else -> break
	od
}

proctype Planner() {
	byte v, n, l;
	do
	:: d_step { !revoked -> revoked = true }
	:: d_step { !acknowledged && (planner_list < newest || revoked && !fresh) -> planner_list = newest; fresh = revoked }
	:: d_step { revoked && !acknowledged ->
#ifdef LOST_COUNTS_WITHOUT_READ
		count(v, n, list[planner_list].has[v] && (acked[v] || lost[v]));
#else
		count(v, n, list[planner_list].has[v] && (acked[v] || fresh && lost[v]));
#endif
		if
#ifdef ONE_ACKNOWLEDGEMENT
		:: n >= 1 -> acknowledged = true
#else
		:: n >= MAJORITY(planner_list) -> acknowledged = true
#endif
		:: else
		fi;
		if :: acknowledged -> check(l, v, n) :: else fi;
		v = 0; n = 0; l = 0 }
	od
}

init {
	atomic {
		list[0].has[0] = true; list[0].has[1] = true; list[0].has[2] = true; list[0].size = 3;
		run Member(0); run Member(1); run Member(2); run Member(3);
		run Changer(); run Planner()
	}
}
