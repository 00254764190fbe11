/*
 * One slot moves from target A, whose dispatcher D may be paused, cut off or slow, to target B.
 *
 * Checked: A never holds a grant while B may be granted the slot; once the faults stop, the slot is served again.
 * Time passes in ticks at any moment between two steps, so every message may be delayed and every process paused for
 * any time, also between a check and the sending that follows. Ages are capped where a further tick changes nothing.
 * Two clocks may differ by one tick in all, which the margin M covers.
 *
 * Each guard can be removed with -D and the name in capitals at its place; the check must then fail.
 */
#ifdef LIVENESS         /* a smaller instance, for the larger search */
#define P 1
#define L 1
#define FAULTS 1
#else
#define P 2             /* renewal permit, ticks */
#define L 2             /* time to live of a grant */
#define FAULTS 2
#endif
#ifdef NO_MARGIN
#define M 0
#else
#define M 1             /* clock margin */
#endif
#ifdef ONE_MEMBER_SUFFICES
#define MAJORITY 1
#else
#define MAJORITY 2
#endif

mtype = { nobody, store, group };                       /* whom D asks */
mtype = { fresh, knows, lost };                         /* a member: without, with the revocation, restarted */
mtype = { watching, writing, unknown, installing, waiting, moving, done };      /* the planner */

/* The store: D's lease is active until revoked or vacant; vacant means that A's term ended. */
bool revoked, vacant, owned_by_B;

/* Target A, by its own clock. Its answers carry tokens; D takes a token when it takes an answer. */
byte ttl;               /* remaining time of the grant */
bool granted;           /* a grant of this epoch was accepted once */
bool call_sent, call_has_token;         /* a grant or renewal on its way to A */
byte call_age;          /* age of its token */

/* Dispatcher D, by its own clock. */
bool stopped, vacating, checked;
byte permit;            /* remaining time */
mtype asked = nobody;   /* the question on its way, its age and its answers */
byte asked_age;
bool same[3], store_same;
bool token; byte token_age;
byte token_end;         /* until a grant with this token has ended at A */
byte grants_end;        /* until all grants sent so far have ended at A */
bool vacate_sent;       /* D's CAS on its way to the store */

mtype member[3] = fresh;

/* The planner, by its own clock. */
mtype planner = watching;
bool revoke_sent, revoke_answered;
byte acks, wait;

bool stable;            /* no more faults */
byte faults;
bool skewed;            /* the clocks already differ by one tick */
#define FAULT (!stable && faults < FAULTS)

#define DOWN(x) x = (x > 0 -> x - 1 : 0)
#define UP(on, x, cap) x = (on && x < cap -> x + 1 : x)
#define MAX(a, b) (a > b -> a : b)
#define SAMES (same[0] + same[1] + same[2])

inline tick_target() { DOWN(ttl); UP(call_sent, call_age, L); UP(token, token_age, L) }
inline tick_dispatcher() { DOWN(permit); UP(asked != nobody, asked_age, P); DOWN(token_end); DOWN(grants_end) }

active proctype Clock() {
	do
	:: d_step { tick_target(); tick_dispatcher(); DOWN(wait) }
	:: d_step { !skewed -> skewed = true; tick_dispatcher(); DOWN(wait) }   /* A's clock is slow */
	:: d_step { !skewed -> skewed = true; tick_target(); DOWN(wait) }       /* D's clock is slow */
	od
}

#define ACCEPT(t) granted = true; ttl = t; assert(!owned_by_B)

active proctype Target() {
	do
	:: d_step { call_sent ->
		if
#ifdef FIRST_GRANT_WITHOUT_TOKEN
		:: !granted -> ACCEPT(L)
#endif
#ifdef TTL_FROM_ARRIVAL
		:: (!granted || ttl > 0) && call_has_token && call_age < L -> ACCEPT(L)
#else
		:: (!granted || ttl > 0) && call_has_token && call_age < L -> ACCEPT(MAX(ttl, L - call_age))
#endif
		:: else
		fi;
		call_sent = false; call_age = 0; call_has_token = false }
	od
}

inline forget_question() { asked = nobody; asked_age = 0; same[0] = false; same[1] = false; same[2] = false; store_same = false }
inline forget_token() { token = false; token_age = 0; token_end = 0 }
inline stop() { stopped = true; permit = 0; grants_end = 0; vacating = false; forget_question(); forget_token() }

active proctype Dispatcher() {
	do
	:: d_step { !stopped && !checked && asked == nobody -> asked = store }
	:: d_step { !stopped && !checked && asked == nobody -> asked = group }
	:: d_step { !checked && asked != nobody && (store_same || SAMES >= MAJORITY) ->
#ifdef PERMIT_FROM_ARRIVAL
		permit = P;
#else
		permit = MAX(permit, P - asked_age);
#endif
#ifdef RESUME_AFTER_LOST_VACATE
		vacating = false;
#endif
		forget_question() }
	:: d_step { !checked && asked != nobody && FAULT -> forget_question() }
	:: d_step { !stopped && (revoked || vacant) && !checked -> stop() }     /* D learns it at last */
	:: d_step { !stopped && !vacating && !checked && !token -> token = true; token_end = L + M }
	/* The check and the sending are two steps, with any pause between them. */
#ifdef RENEW_WITHOUT_PERMIT
	:: d_step { !vacating && !checked && !call_sent && token -> checked = true }
#else
	:: d_step { !vacating && !checked && !call_sent && token && permit > 0 -> checked = true }
#endif
	:: d_step { checked ->
		checked = false; call_sent = true; call_has_token = true; call_age = token_age;
		grants_end = MAX(grants_end, token_end); forget_token() }
#ifdef FIRST_GRANT_WITHOUT_TOKEN
	:: d_step { !stopped && !vacating && !checked && !call_sent && !granted && permit > 0 -> call_sent = true }
#endif
	/* D gives up a silent target once every grant has ended. Until the lease row has changed it sends nothing. */
#ifdef VACATE_WITHOUT_WAIT
	:: d_step { !stopped && !vacating && !checked && !vacate_sent -> vacating = true; vacate_sent = true; forget_token() }
#else
	:: d_step { !stopped && !vacating && !checked && !vacate_sent && grants_end == 0 ->
		vacating = true; vacate_sent = true; forget_token() }
#endif
	od
}

/* Processes are split where weak fairness must not let one kind of step starve another. */
active proctype StoreReads() {
	do
	:: d_step { asked == store && !store_same && !revoked && !vacant -> store_same = true }
	od
}

active proctype StoreWrites() {
	do
	:: d_step { revoke_sent -> revoke_sent = false; revoke_answered = true;
		if :: !vacant -> revoked = true :: else fi }
	:: d_step { vacate_sent -> vacate_sent = false;
		if :: !revoked -> vacant = true :: else fi }
	od
}

active proctype Install() {
	do
	:: d_step { planner == installing && member[0] == fresh -> member[0] = knows; acks++ }
	:: d_step { planner == installing && member[1] == fresh -> member[1] = knows; acks++ }
	:: d_step { planner == installing && member[2] == fresh -> member[2] = knows; acks++ }
	od
}

proctype Member(byte m) {
	do
	:: d_step { asked == group && !same[m] && member[m] == fresh -> same[m] = true }
#ifdef RESTARTED_VOUCHES
	:: d_step { asked == group && !same[m] && member[m] == lost -> same[m] = true }
#endif
	:: d_step { FAULT && member[0] != lost && member[1] != lost && member[2] != lost -> member[m] = lost; faults++ }
	od
}

active proctype Planner() {
	do
	:: d_step { planner == watching && !vacant -> planner = writing; revoke_sent = true }
	:: d_step { planner == watching && vacant -> planner = moving }
	:: d_step { planner == writing && revoke_answered ->
		if
		:: revoked -> planner = installing
		:: else -> planner = moving      /* D wrote the lease vacant first */
		fi }
	:: d_step { planner == writing && FAULT -> planner = unknown; faults++ }        /* the answer is lost */
#ifdef LOST_ANSWER_IS_SUCCESS
	:: d_step { planner == unknown -> planner = installing }
#else
#ifndef NO_READ_BACK
	:: d_step { planner == unknown && revoked -> planner = installing }
	:: d_step { planner == unknown && vacant -> planner = moving }
#endif
#endif
#ifdef WAIT_BEFORE_MAJORITY
	:: d_step { planner == installing && acks < MAJORITY && wait == 0 -> wait = P + L + M }
	:: d_step { planner == installing && acks >= MAJORITY && wait > 0 -> planner = waiting }
#else
	:: d_step { planner == installing && acks >= MAJORITY -> planner = waiting;
#ifdef WAIT_FOR_GRANT_ONLY
		wait = L + M
#else
		wait = P + L + M
#endif
		}
#endif
	:: d_step { planner == waiting && wait == 0 -> planner = moving; vacant = true }
	:: d_step { planner == moving -> planner = done; owned_by_B = true; assert(ttl == 0) }
	od
}

#ifdef LIVENESS
active proctype Environment() { stable = true }
ltl served_again { [] (stable -> <> (ttl > 0 || owned_by_B)) }
#endif

init { atomic { run Member(0); run Member(1); run Member(2) } }
