/*
 * Slots and leases are separate documents, each changed by CAS. Three planners and the dispatchers of target A act on one
 * slot. Time plays no part: that a term has ended means that its waits are over (lease.pml).
 *
 * Checked: A never has the slot in its grant while B is the owner; an assignment is only replaced by rule.
 *
 * Each guard can be removed with -D and the name in capitals at its place; the check must then fail.
 */
#define EPOCHS 3        /* writes of the lease document */
#define WRITES 4        /* writes of the slot document */

mtype = { A, B, nobody };

/* The lease document: A's row. A term ends with a vacant row and begins with the next active one. */
byte lease_version = 1, term = 1, holder = 1;   /* holder: the number of the dispatcher, 0 when vacant */
bool second;            /* the second dispatcher has had the lease; each has it once */
/* The slot document. */
byte slot_version = 1, slot_term = 1;
mtype owner = A;
bool releasing = true;

/* Target A: what it has been granted, by which dispatcher, and the last token it accepted. */
bool granted;
byte granted_by, used;

/* Calls on their way to A, in any order; a sender gives a call up and sends the next. Tokens rise with every call, since every answer carries a new one; each is accepted once. */
bool sent[2], sent_slot[2]; byte sent_by[2], sent_token[2];
byte next_token = 1;

/* A release on its way to the store, with the version it expects; 0 when there is none. */
byte cas_version;

#define NO_DOUBLE assert(!(granted && owner == B))

/* The holder of A's lease with number h. It knows the documents as it read them. */
proctype Holder(byte h) {
	byte my_lease, my_term, my_slot, my_slot_term, token, i;
	mtype my_owner = nobody;
	bool my_releasing, taken, confirmed, confirmed_slot, unconfirmed;
	do
	:: d_step { !taken && holder == h -> taken = true; my_lease = lease_version; my_term = term;
#ifndef OLD_SLOTS
		my_slot = slot_version; my_owner = owner; my_slot_term = slot_term; my_releasing = releasing
#endif
		}
#ifdef OLD_SLOTS
	/* The slots were read before the lease. */
	:: d_step { !taken && my_slot == 0 -> my_slot = slot_version; my_owner = owner; my_slot_term = slot_term; my_releasing = releasing }
#endif
	:: d_step { taken && my_slot != slot_version ->
		my_slot = slot_version; my_owner = owner; my_slot_term = slot_term; my_releasing = releasing }
	/* A grant with what the table allows. Its answer may be lost. */
	:: d_step { taken && holder == h && (!sent[0] || !sent[1]) && next_token < 4 ->
		i = (sent[0] -> 1 : 0);
		sent[i] = true; sent_by[i] = h;
		sent_slot[i] = (my_owner == A
#ifndef GRANT_OTHER_TERM
			&& my_slot_term == my_term
#endif
#ifndef GRANT_RELEASING
			&& !my_releasing
#endif
			);
		sent_token[i] = next_token; token = next_token; next_token++; unconfirmed = true; i = 0 }
	/* The answer to the last grant arrives; an earlier call can't be accepted after it. */
	:: d_step { taken && unconfirmed && used == token && granted_by == h ->
		unconfirmed = false; confirmed = true; confirmed_slot = granted }
	/* D writes the next owner once A has confirmed a grant without the slot. */
	:: d_step { taken && confirmed && !confirmed_slot && my_releasing && my_owner == A && my_slot_term == my_term &&
#ifndef UNCONFIRMED_RELEASE
		!unconfirmed &&
#endif
#ifndef RELEASE_WITHOUT_PERMIT
		holder == h &&          /* the permit: no other dispatcher has the lease yet */
#endif
		my_slot < WRITES && cas_version == 0 -> cas_version = my_slot }
	od
}

active proctype Store() {
	do
	:: d_step { cas_version > 0 ->
		if :: cas_version == slot_version -> owner = B; releasing = false; slot_version++ :: else fi;
		cas_version = 0; NO_DOUBLE }
	od
}

active proctype Target() {
	byte i;
	do
	:: atomic { (sent[0] || sent[1]) ->     /* not a d_step: either call may arrive first */
		if :: sent[0] -> i = 0 :: sent[1] -> i = 1 fi;
		if
#ifdef ANY_TOKEN
		:: sent_by[i] >= granted_by -> granted = sent_slot[i]; granted_by = sent_by[i]; used = sent_token[i]
#else
		:: sent_by[i] >= granted_by && sent_token[i] > used ->
			granted = sent_slot[i]; granted_by = sent_by[i]; used = sent_token[i]
#endif
		:: else
		fi;
		sent[i] = false; NO_DOUBLE; i = 0 }
	od
}

/* One planner changes leases. A CAS makes its view the present one at the moment of the write. */
active proctype LeasePlanner() {
	do
	/* After the waits: A's term has ended, so its holder has stopped and no grant is left. */
	:: d_step { holder != 0 && lease_version < EPOCHS ->
		lease_version++; holder = 0; term = lease_version; granted = false; sent[0] = false; sent[1] = false }
	/* After the shorter wait: another dispatcher within the term. Calls of the first may still arrive. */
	:: d_step { holder == 1 && lease_version < EPOCHS && !second -> lease_version++; holder = 2; second = true }
	/* A gets its next dispatcher and a new term. */
	:: d_step { holder == 0 && lease_version < EPOCHS && !second ->
		lease_version++; holder = 2; second = true; term = lease_version }
	od
}

/* Two more planners change slots, each with a view of the leases that may be old. */
active [2] proctype SlotPlanner() {
	byte p_lease, p_term, p_slot_term; bool p_vacant;
	do
	:: d_step { p_lease != lease_version -> p_lease = lease_version; p_term = term; p_vacant = (holder == 0) }
	/* The slot's owner has lost its term: the slot goes to B, or to A's present term. */
#ifdef DECIDE_BY_STATE
	:: d_step { owner == A && p_vacant && slot_version < WRITES ->
#else
	:: d_step { owner == A && p_term > slot_term && slot_version < WRITES ->
#endif
		owner = B; releasing = false; slot_version++; NO_DOUBLE }
	:: d_step { owner == A && !p_vacant && p_term > slot_term && slot_version < WRITES ->
		slot_term = p_term; releasing = false; slot_version++ }
	/* Placement wants the slot at B; the wish may be withdrawn. */
	:: d_step { owner == A && slot_version < WRITES -> releasing = !releasing; slot_version++ }
#ifdef NO_CAS
	/* It writes what it decided for an older document. */
	:: d_step { p_slot_term != slot_term -> p_slot_term = slot_term }
	:: d_step { p_slot_term > 0 && p_term > p_slot_term && slot_version < WRITES ->
		owner = B; slot_version++; NO_DOUBLE }
#endif
	od
}

init { atomic { run Holder(1); run Holder(2) } }
