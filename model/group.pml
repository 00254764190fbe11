/*
 * The quorum group changes its member list while a planner revokes a lease. The model is untimed.
 *
 * Checked: once the planner counts the revocation as acknowledged, no dispatcher can obtain a majority that confirms
 * the old lease, whichever member list it uses. lease.pml relies on this result.
 *
 * Each guard can be removed with -D and the macro name at its place; the check must then fail.
 */
#define VMS 4
/* scripts/model.sh checks two changes without a loss, and one change with a loss. */
#ifndef CHANGES
#define CHANGES 2
#endif
#ifndef LOSSES
#define LOSSES 0
#endif

typedef List { bool includes[VMS]; byte size };
List list[3];           /* the member lists, in the order of their writes to the store */
byte newest;            /* the index of the list in the store */
bool revoked;           /* the revocation is in the store */

byte known_list[VMS];   /* the newest list that a VM knows */
byte stored_list_read[VMS];    /* the newest list that a VM has read from the store; it knows all older changes too */
bool known_revocation[VMS];
bool lost[VMS];         /* restarted or stopped: this incarnation never answers again */
byte losses;

byte planner_list;      /* the list that the planner uses; other planners may have changed it since */
bool read_after_revocation;             /* the planner read the store after the revocation */
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

/* The operators' tools change the list by one member at a time, with a compare-and-swap. */
proctype Changer() {
	byte v, n, w;
	do
	:: atomic { !acknowledged && newest < CHANGES ->
#ifndef CHANGE_BEFORE_MAJORITY
		if
		:: newest > 0 -> count(v, n, list[newest - 1].includes[v] && (known_list[v] >= newest || lost[v]));
			if :: n >= MAJORITY(newest - 1) :: else -> goto again fi
		:: else
		fi;
#endif
		select(w : 0 .. 3);
		if :: !lost[w] || list[newest].includes[w] :: else -> goto again fi;
		v = 0;
		do
		:: v < VMS -> list[newest + 1].includes[v] = (v == w -> !list[newest].includes[v] : list[newest].includes[v]); v++
		:: else -> break
		od;
#ifdef TWO_MEMBERS_AT_ONCE
		list[newest + 1].includes[(w + 1) % VMS] = !list[newest + 1].includes[(w + 1) % VMS];
#endif
		count(v, n, list[newest + 1].includes[v]);
		list[newest + 1].size = n;
		if :: n > 0 -> newest++ :: else fi;
again:		v = 0; n = 0; w = 0 }
	od
}

proctype Member(byte v) {
	do
	:: d_step { !acknowledged && !lost[v] && (stored_list_read[v] < newest || known_revocation[v] < revoked) ->
		known_list[v] = newest; stored_list_read[v] = newest; known_revocation[v] = revoked }
	/* The member receives a newer list from another process. */
	:: d_step { !acknowledged && !lost[v] && known_list[v] < newest -> known_list[v]++ }
	:: d_step { !acknowledged && !lost[v] && losses < LOSSES -> losses++; lost[v] = true; known_list[v] = 0; stored_list_read[v] = 0;
		known_revocation[v] = false }
	/* The planner's install message arrives. The acknowledgement names the member's list; if that is newer, the planner
	 * counts under it from then on. */
	:: d_step { revoked && !acknowledged && list[planner_list].includes[v] && !lost[v] && !acked[v] ->
		acked[v] = true; known_revocation[v] = true;
		if
		:: known_list[v] < planner_list -> known_list[v] = planner_list
#ifndef IGNORE_NEWER_LIST
		:: known_list[v] > planner_list -> planner_list = known_list[v]
#endif
		:: else
		fi }
	od
}

/* A member confirms the old lease to a dispatcher that uses list l. */
#ifdef RESTARTED_VOUCHES
#define ANSWERS(v) true
#else
#define ANSWERS(v) !lost[v]
#endif
#ifdef VOUCH_BEFORE_READ
#define HAS_READ(v) true
#else
#define HAS_READ(v) (lost[v] || stored_list_read[v] == known_list[v])
#endif
#ifdef VOUCH_UNDER_OTHER_LIST
#define SAME_LIST(v, l) true
#else
#define SAME_LIST(v, l) (lost[v] || known_list[v] == l)
#endif
#define VOTES(v, l) (list[l].includes[v] && !known_revocation[v] && ANSWERS(v) && HAS_READ(v) && SAME_LIST(v, l))

/*
 * After the acknowledgement, members only learn of further changes, which removes votes. So checking at that moment is
 * enough: no majority of any list that was ever written may confirm the old lease.
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
	:: d_step { !acknowledged && (planner_list < newest || revoked && !read_after_revocation) -> planner_list = newest; read_after_revocation = revoked }
	:: d_step { revoked && !acknowledged ->
#ifdef LOST_COUNTS_WITHOUT_READ
		count(v, n, list[planner_list].includes[v] && (acked[v] || lost[v]));
#else
		count(v, n, list[planner_list].includes[v] && (acked[v] || read_after_revocation && lost[v]));
#endif
		if
#ifdef ONE_ACKNOWLEDGEMENT
		:: n >= 1 -> acknowledged = true
#else
#ifdef FEWER_THAN_MAJORITY
		:: n >= list[planner_list].size - MAJORITY(planner_list) + 1 -> acknowledged = true
#else
		:: n >= MAJORITY(planner_list) -> acknowledged = true
#endif
#endif
		:: else
		fi;
		if :: acknowledged -> check(l, v, n) :: else fi;
		v = 0; n = 0; l = 0 }
	od
}

init {
	atomic {
		list[0].includes[0] = true; list[0].includes[1] = true; list[0].includes[2] = true; list[0].size = 3;
		run Member(0); run Member(1); run Member(2); run Member(3);
		run Changer(); run Planner()
	}
}
