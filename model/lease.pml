/*
 * One slot moves from target A, whose dispatcher D may be paused, partitioned or slow, to target B.
 *
 * Checked: A never holds a grant while B may be granted the slot; once the faults stop, the slot is served again.
 * Clock ticks may occur between any two steps, so every message may be delayed and every process paused for any time,
 * also between a check and the send that follows it. Ages are capped where a further tick makes no difference.
 * Two clocks may drift apart by one tick in total, which the margin M covers.
 *
 * Each guard can be removed with -D and the macro name at its place; the check must then fail.
 */
#ifdef LIVENESS         /* a smaller instance, because the liveness search is larger */
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

mtype = { none, store, group };                 /* who is asked to confirm D's lease */
mtype = { uninformed, informed, lost };         /* a member: does not know the revocation, knows it, has restarted */
mtype = { watching, writing, unknown, installing, waiting, moving, done };      /* the planner */

/* The store: D's lease is active until it is revoked or vacant; vacant means that A's term has ended. */
bool revoked, vacant, owned_by_B;

/* Target A, by its own clock. Its answers carry tokens; D obtains a token with each answer. */
byte ttl;               /* remaining time of the grant */
bool granted;           /* A has accepted a grant of this epoch */
bool call_in_flight, call_has_token;    /* a grant or renewal in flight to A */
byte call_age;          /* age of its token */

/* Dispatcher D, by its own clock. */
bool stopped, vacating, permit_checked;
byte permit;            /* remaining time of the renewal permit */
mtype confirmer = none;                 /* who is asked to confirm the lease at present */
byte request_age;                       /* the age of this request */
bool member_confirmed[3], store_confirmed;      /* the answers to it */
bool token; byte token_age;
byte token_end;         /* time until a grant with this token has ended at A */
byte grants_end;        /* time until all grants sent so far have ended at A */
bool vacate_in_flight;  /* D's compare-and-swap in flight to the store */

mtype member[3] = uninformed;

/* The planner, by its own clock. */
mtype planner = watching;
bool revoke_in_flight, revoke_answered;
byte acks, wait;

bool stable;            /* no more faults */
byte faults;
bool skewed;            /* the clocks already differ by one tick */
#define FAULT (!stable && faults < FAULTS)

#define COUNT_DOWN(x) x = (x > 0 -> x - 1 : 0)
#define COUNT_UP(on, x, cap) x = (on && x < cap -> x + 1 : x)
#define MAX(a, b) (a > b -> a : b)
#define CONFIRMATIONS (member_confirmed[0] + member_confirmed[1] + member_confirmed[2])

inline tick_target() { COUNT_DOWN(ttl); COUNT_UP(call_in_flight, call_age, L); COUNT_UP(token, token_age, L) }
inline tick_dispatcher() { COUNT_DOWN(permit); COUNT_UP(confirmer != none, request_age, P); COUNT_DOWN(token_end); COUNT_DOWN(grants_end) }

active proctype Clock() {
	do
	:: d_step { tick_target(); tick_dispatcher(); COUNT_DOWN(wait) }
	:: d_step { !skewed -> skewed = true; tick_dispatcher(); COUNT_DOWN(wait) }   /* A's clock is slow */
	:: d_step { !skewed -> skewed = true; tick_target(); COUNT_DOWN(wait) }       /* D's clock is slow */
	od
}

#define ACCEPT(t) granted = true; ttl = t; assert(!owned_by_B)

active proctype Target() {
	do
	:: d_step { call_in_flight ->
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
		call_in_flight = false; call_age = 0; call_has_token = false }
	od
}

inline drop_request() { confirmer = none; request_age = 0; member_confirmed[0] = false; member_confirmed[1] = false; member_confirmed[2] = false; store_confirmed = false }
inline drop_token() { token = false; token_age = 0; token_end = 0 }
inline stop() { stopped = true; permit = 0; grants_end = 0; vacating = false; drop_request(); drop_token() }

active proctype Dispatcher() {
	do
	:: d_step { !stopped && !permit_checked && confirmer == none -> confirmer = store }
	:: d_step { !stopped && !permit_checked && confirmer == none -> confirmer = group }
	:: d_step { !permit_checked && confirmer != none && (store_confirmed || CONFIRMATIONS >= MAJORITY) ->
#ifdef PERMIT_FROM_ARRIVAL
		permit = P;
#else
		permit = MAX(permit, P - request_age);
#endif
#ifdef RESUME_AFTER_LOST_VACATE
		vacating = false;
#endif
		drop_request() }
	:: d_step { !permit_checked && confirmer != none && FAULT -> drop_request() }
	:: d_step { !stopped && (revoked || vacant) && !permit_checked -> stop() }     /* D learns that its lease has ended */
	:: d_step { !stopped && !vacating && !permit_checked && !token -> token = true; token_end = L + M }
	/* The check and the send are two steps, with a pause of any length between them. */
#ifdef RENEW_WITHOUT_PERMIT
	:: d_step { !vacating && !permit_checked && !call_in_flight && token -> permit_checked = true }
#else
	:: d_step { !vacating && !permit_checked && !call_in_flight && token && permit > 0 -> permit_checked = true }
#endif
	:: d_step { permit_checked ->
		permit_checked = false; call_in_flight = true; call_has_token = true; call_age = token_age;
		grants_end = MAX(grants_end, token_end); drop_token() }
#ifdef FIRST_GRANT_WITHOUT_TOKEN
	:: d_step { !stopped && !vacating && !permit_checked && !call_in_flight && !granted && permit > 0 -> call_in_flight = true }
#endif
	/* D gives up an unresponsive target once every grant has ended. It sends nothing until the lease row has changed. */
#ifdef VACATE_WITHOUT_WAIT
	:: d_step { !stopped && !vacating && !permit_checked && !vacate_in_flight -> vacating = true; vacate_in_flight = true; drop_token() }
#else
	:: d_step { !stopped && !vacating && !permit_checked && !vacate_in_flight && grants_end == 0 ->
		vacating = true; vacate_in_flight = true; drop_token() }
#endif
	od
}

/* Steps are split over several processes where, under weak fairness, one kind of step could starve another. */
active proctype StoreReads() {
	do
	:: d_step { confirmer == store && !store_confirmed && !revoked && !vacant -> store_confirmed = true }
	od
}

active proctype StoreWrites() {
	do
	:: d_step { revoke_in_flight -> revoke_in_flight = false; revoke_answered = true;
		if :: !vacant -> revoked = true :: else fi }
	:: d_step { vacate_in_flight -> vacate_in_flight = false;
		if :: !revoked -> vacant = true :: else fi }
	od
}

active proctype Install() {
	do
	:: d_step { planner == installing && member[0] == uninformed -> member[0] = informed; acks++ }
	:: d_step { planner == installing && member[1] == uninformed -> member[1] = informed; acks++ }
	:: d_step { planner == installing && member[2] == uninformed -> member[2] = informed; acks++ }
	od
}

proctype Member(byte m) {
	do
	:: d_step { confirmer == group && !member_confirmed[m] && member[m] == uninformed -> member_confirmed[m] = true }
#ifdef RESTARTED_VOUCHES
	:: d_step { confirmer == group && !member_confirmed[m] && member[m] == lost -> member_confirmed[m] = true }
#endif
	:: d_step { FAULT && member[0] != lost && member[1] != lost && member[2] != lost -> member[m] = lost; faults++ }
	od
}

active proctype Planner() {
	do
	:: d_step { planner == watching && !vacant -> planner = writing; revoke_in_flight = true }
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
