/*
 * Slots and leases are separate documents, each changed by CAS. Three planners and the dispatchers of target A act on one
 * slot. The model is untimed: the end of a term implies that the waits of lease.pml are over.
 *
 * Checked: A never has the slot in its grant while B is the owner. This fails too when an assignment is replaced although
 * the rules forbid it.
 *
 * Each guard can be removed with -D and the macro name at its place; the check must then fail.
 */
#define MAX_LEASE_VERSION 3     /* the last version of the lease document that is searched */
#define MAX_SLOT_VERSION 4      /* the last version of the slot document that is searched */

mtype = { A, B, none };

/* The lease document: A's row. A term ends with a vacant row and begins with the next active one. */
byte lease_version = 1, term = 1, holder = 1;   /* holder: the number of the dispatcher, 0 when vacant */
bool second_used;            /* the second dispatcher has had the lease; each dispatcher holds it at most once */
/* The slot document. */
byte slot_version = 1, slot_term = 1;
mtype owner = A;
bool releasing = true;

/* Target A: whether the slot is granted to it, by which dispatcher, and the last token that it accepted. */
bool granted;
byte granted_by, last_token;

/*
 * Calls in flight to A, which may arrive in any order; a sender abandons a call and sends the next. Tokens rise with
 * every call, since every answer carries a new one; each is accepted once.
 */
bool in_flight[2], call_has_slot[2]; byte call_holder[2], call_token[2];
byte next_token = 1;

/* A release in flight to the store, with the version that it expects; 0 when there is none. */
byte release_version;

#define CHECK_SINGLE_HOLDER assert(!(granted && owner == B))

/* The dispatcher with number h. It uses the documents as it last read them. */
proctype Holder(byte h) {
	byte my_lease, my_term, my_slot, my_slot_term, token, i;
	mtype my_owner = none;
	bool my_releasing, lease_read, confirmed, confirmed_slot, unconfirmed;
	do
	:: d_step { !lease_read && holder == h -> lease_read = true; my_lease = lease_version; my_term = term;
#ifndef OLD_SLOTS
		my_slot = slot_version; my_owner = owner; my_slot_term = slot_term; my_releasing = releasing
#endif
		}
#ifdef OLD_SLOTS
	/* The slots were read before the lease. */
	:: d_step { !lease_read && my_slot == 0 -> my_slot = slot_version; my_owner = owner; my_slot_term = slot_term; my_releasing = releasing }
#endif
	:: d_step { lease_read && my_slot != slot_version ->
		my_slot = slot_version; my_owner = owner; my_slot_term = slot_term; my_releasing = releasing }
	/* A grant with the slot if the table allows it. Its answer may be lost. */
	:: d_step { lease_read && holder == h && (!in_flight[0] || !in_flight[1]) && next_token < 4 ->
		i = (in_flight[0] -> 1 : 0);
		in_flight[i] = true; call_holder[i] = h;
		call_has_slot[i] = (my_owner == A
#ifndef GRANT_OTHER_TERM
			&& my_slot_term == my_term
#endif
#ifndef GRANT_RELEASING
			&& !my_releasing
#endif
			);
		call_token[i] = next_token; token = next_token; next_token++; unconfirmed = true; i = 0 }
	/* The answer to the last grant arrives; an earlier call can't be accepted after it. */
	:: d_step { lease_read && unconfirmed && last_token == token && granted_by == h ->
		unconfirmed = false; confirmed = true; confirmed_slot = granted }
	/* The dispatcher writes the next owner once A has confirmed a grant without the slot. */
	:: d_step { lease_read && confirmed && !confirmed_slot && my_releasing && my_owner == A && my_slot_term == my_term &&
#ifndef UNCONFIRMED_RELEASE
		!unconfirmed &&
#endif
#ifndef RELEASE_WITHOUT_PERMIT
		holder == h &&          /* the permit: no other dispatcher has the lease yet */
#endif
		my_slot < MAX_SLOT_VERSION && release_version == 0 -> release_version = my_slot }
	od
}

active proctype Store() {
	do
	:: d_step { release_version > 0 ->
		if :: release_version == slot_version -> owner = B; releasing = false; slot_version++ :: else fi;
		release_version = 0; CHECK_SINGLE_HOLDER }
	od
}

active proctype Target() {
	byte i;
	do
	:: atomic { (in_flight[0] || in_flight[1]) ->     /* not a d_step: either call may arrive first */
		if :: in_flight[0] -> i = 0 :: in_flight[1] -> i = 1 fi;
		if
#ifdef ANY_TOKEN
		:: call_holder[i] >= granted_by -> granted = call_has_slot[i]; granted_by = call_holder[i]; last_token = call_token[i]
#else
		:: call_holder[i] >= granted_by && call_token[i] > last_token ->
			granted = call_has_slot[i]; granted_by = call_holder[i]; last_token = call_token[i]
#endif
		:: else
		fi;
		in_flight[i] = false; CHECK_SINGLE_HOLDER; i = 0 }
	od
}

/* One planner changes leases. The compare-and-swap ensures that its view is current at the moment of the write. */
active proctype LeasePlanner() {
	do
	/* After the waits: A's term has ended, so its holder has stopped and no grant is left. */
	:: d_step { holder != 0 && lease_version < MAX_LEASE_VERSION ->
		lease_version++; holder = 0; term = lease_version; granted = false; in_flight[0] = false; in_flight[1] = false }
	/* After the shorter wait: another dispatcher within the term. Calls of the first may still arrive. */
	:: d_step { holder == 1 && lease_version < MAX_LEASE_VERSION && !second_used -> lease_version++; holder = 2; second_used = true }
	/* A gets its next dispatcher and a new term. */
	:: d_step { holder == 0 && lease_version < MAX_LEASE_VERSION && !second_used ->
		lease_version++; holder = 2; second_used = true; term = lease_version }
	od
}

/* Two more planners change slots, each with a view of the leases that may be stale. */
active [2] proctype SlotPlanner() {
	byte p_lease, p_term, p_slot_term; bool p_vacant;
	do
	:: d_step { p_lease != lease_version -> p_lease = lease_version; p_term = term; p_vacant = (holder == 0) }
	/* The slot's owner has lost its term: the slot goes to B, or to A's current term. */
#ifdef DECIDE_BY_STATE
	:: d_step { owner == A && p_vacant && slot_version < MAX_SLOT_VERSION ->
#else
	:: d_step { owner == A && p_term > slot_term && slot_version < MAX_SLOT_VERSION ->
#endif
		owner = B; releasing = false; slot_version++; CHECK_SINGLE_HOLDER }
	:: d_step { owner == A && !p_vacant && p_term > slot_term && slot_version < MAX_SLOT_VERSION ->
		slot_term = p_term; releasing = false; slot_version++ }
	/* Placement requests a move of the slot to B, or withdraws the request. */
	:: d_step { owner == A && slot_version < MAX_SLOT_VERSION -> releasing = !releasing; slot_version++ }
#ifdef NO_CAS
	/* The planner writes a decision that is based on an older document. */
	:: d_step { p_slot_term != slot_term -> p_slot_term = slot_term }
	:: d_step { p_slot_term > 0 && p_term > p_slot_term && slot_version < MAX_SLOT_VERSION ->
		owner = B; slot_version++; CHECK_SINGLE_HOLDER }
#endif
	od
}

init { atomic { run Holder(1); run Holder(2) } }
