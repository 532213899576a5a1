/*
 * Model of the at-most-once protocol of pkg/idempotency: the claims of one key while views change.
 *
 * A single Promela process takes all steps, so each step is atomic. A sent message is
 * modelled as a condition that stays true: a member may act on it at any later time,
 * never, or repeatedly, which covers lost, delayed and duplicated messages. An entry or
 * member that takes no further step has crashed or is paused. A member that restarts
 * gets a new incarnation, modelled as one of the spare instances.
 *
 * Leases and record windows are not modelled: records never expire.
 *
 * Parameters: MEMBERS (members of a view; the write quorum W and the seal quorum R follow
 * from it), SPARES (instances outside the first view), IDS (claim IDs, one attempt each),
 * EPOCHS (number of views), NO_ENDS (members ignore releases and completions) and
 * REPLACE_ALL_SPARES (omits the view that adds only one of several spares).
 * Each of the flags MUT_QUORUM, MUT_MIXED, MUT_SEAL, MUT_LOAD, MUT_RELEASE, MUT_RESTART,
 * MUT_TOMBSTONE and MUT_CUT inserts one error into the protocol.
 */
#ifndef MEMBERS
#define MEMBERS 4
#endif
#ifndef SPARES
#define SPARES 2
#endif
#ifndef IDS
#define IDS 2
#endif
#ifndef EPOCHS
#define EPOCHS 2
#endif

#define ALL (MEMBERS + SPARES)
#if MEMBERS == 4
#define W 3
#else
#define W MEMBERS
#endif
#define R (MEMBERS - W + 1)

#ifdef MUT_QUORUM
#define NEED (W - 1)
#else
#define NEED W
#endif
#ifdef MUT_LOAD
#define SEALS (R - 1)
#else
#define SEALS R
#endif

/* P selects one property to check, which shows that a mutant violates this property. Without P, all are checked. */
#if !defined(P) || P == 1
#define ONE_SEND(x) assert(x)
#else
#define ONE_SEND(x) skip
#endif
#if !defined(P) || P == 2
#define NOT_LOST(x) assert(x)
#else
#define NOT_LOST(x) skip
#endif
#if !defined(P) || P == 3
#define PROVED(x) assert(x)
#else
#define PROVED(x) skip
#endif

#define BIT(i) (1 << (i))
#define HAS(set, i) (((set) >> (i)) & 1)
#define COUNT(set) (HAS(set, 0) + HAS(set, 1) + HAS(set, 2) + HAS(set, 3) + HAS(set, 4) + HAS(set, 5))

#define IDLE 0
#define CLAIMING 1
#define WON 2
#define SENT 3
#define FINISHED 4
#define RELEASED 5

/* Per member, sets of claim IDs: held, known to be completed, known to be released. */
byte held[ALL]; byte done[ALL]; byte tomb[ALL];
byte opened[ALL];  /* epoch in which the member grants claims, 0 for none */
byte sealed[ALL];  /* highest epoch for which the member is sealed */
/* Per member: the sealed members of epochs 1 and 2 whose records it has imported. */
byte from1[ALL]; byte from2[ALL];
/* The members of each epoch, the latest epoch, and whether records must still be imported from epoch 1. */
byte view[EPOCHS + 1];
byte latest = 1;
bool first = true;
byte everOpened[EPOCHS + 1];
/* Sets of members that granted a claim or acknowledged its completion, by claim ID and epoch. */
byte grants[IDS * (EPOCHS + 1)];
byte acks[IDS * (EPOCHS + 1)];
#define AT(id, e) ((id) * (EPOCHS + 1) + (e))

byte phase[IDS];
byte ran;      /* claim IDs whose request has run */
byte released; /* claim IDs for which a release was sent */
bool restarted;

#define OTHERS(m, id) ((held[m] | done[m]) & ~tomb[m] & ~BIT(id))
#ifdef MUT_MIXED
#define QUORUM(id) (COUNT(grants[AT(id, 1)] | grants[AT(id, EPOCHS)]) >= NEED)
#elif EPOCHS == 2
#define QUORUM(id) (COUNT(grants[AT(id, 1)]) >= NEED || COUNT(grants[AT(id, 2)]) >= NEED)
#else
#define QUORUM(id) (COUNT(grants[AT(id, 1)]) >= NEED || COUNT(grants[AT(id, 2)]) >= NEED || COUNT(grants[AT(id, 3)]) >= NEED)
#endif

/* A key can be claimed again only with proof that the request did not run: when a claim wins,
   no request of another claim has run or may still run. */
inline checkWin(id) {
	d_step {
		j = 0;
		do
		:: j < IDS ->
			PROVED(j == id || !HAS(ran, j));
			PROVED(j == id || (phase[j] != SENT && phase[j] != WON));
			j++
		:: else -> break
		od;
		j = 0
	}
}

inline execute(id) {
	/* The request runs at most once. */
	ONE_SEND(ran == 0);
	ran = ran | BIT(id)
}

/* No completed claim is lost: a member that opens knows every claim that a write quorum granted in an
   earlier epoch, unless it was released, and every completion that a write quorum acknowledged. */
inline checkOpen(m) {
	d_step {
		j = 0;
		do
		:: j < IDS ->
			k = 1;
			do
			:: k < latest ->
				NOT_LOST(COUNT(grants[AT(j, k)]) < W || HAS(held[m] | done[m] | released, j));
				NOT_LOST(COUNT(acks[AT(j, k)]) < W || HAS(done[m], j));
				k++
			:: else -> break
			od;
			j++
		:: else -> break
		od;
		j = 0; k = 0
	}
}

inline entry(id) {
	if
	:: phase[id] == IDLE && (id == 0 || phase[id - 1] != IDLE) -> phase[id] = CLAIMING
	:: phase[id] == CLAIMING && QUORUM(id) -> phase[id] = WON; checkWin(id)
	:: phase[id] == CLAIMING || phase[id] == WON -> phase[id] = RELEASED; released = released | BIT(id)
	:: phase[id] == WON -> phase[id] = SENT; if :: execute(id) :: skip fi
	:: phase[id] == SENT && HAS(ran, id) -> phase[id] = FINISHED
#ifdef MUT_RELEASE
	:: phase[id] == SENT -> phase[id] = RELEASED; released = released | BIT(id)
#else
	:: phase[id] == SENT && !HAS(ran, id) -> phase[id] = RELEASED; released = released | BIT(id)
#endif
	fi
}

#ifdef MUT_TOMBSTONE
#define REFUSED(m, id) 0
#else
#define REFUSED(m, id) HAS(tomb[m], id)
#endif
#define GRANTED(m, id) HAS(grants[AT(id, opened[m])], m)
#define MAYGRANT(m, id) (opened[m] != 0 && phase[id] != IDLE && !GRANTED(m, id) && !REFUSED(m, id) && OTHERS(m, id) == 0)
#ifdef NO_ENDS
#define LISTENS(m) 0
#else
#define LISTENS(m) (opened[m] != 0)
#endif

inline member(m, id) {
	if
	:: MAYGRANT(m, id) ->
		held[m] = held[m] | BIT(id);
#ifdef MUT_TOMBSTONE
		tomb[m] = tomb[m] & ~BIT(id);
#endif
		grants[AT(id, opened[m])] = grants[AT(id, opened[m])] | BIT(m)
	:: HAS(released, id) && !HAS(tomb[m], id) && LISTENS(m) ->
		tomb[m] = tomb[m] | BIT(id); held[m] = held[m] & ~BIT(id)
	:: phase[id] == FINISHED && !HAS(done[m], id) && LISTENS(m) ->
		done[m] = done[m] | BIT(id);
		if
		:: opened[m] != 0 -> acks[AT(id, opened[m])] = acks[AT(id, opened[m])] | BIT(m)
		:: else -> skip
		fi
	:: phase[id] == FINISHED && HAS(done[m], id) && opened[m] != 0 && !HAS(acks[AT(id, opened[m])], m) ->
		acks[AT(id, opened[m])] = acks[AT(id, opened[m])] | BIT(m)
	fi
}

/*
 * Sealing a member and importing its records are one step: a seal without an import
 * only stops the member, which has the same effect as a pause. Records from more members
 * than a seal quorum would only add knowledge, so an import ends at the seal quorum and
 * the member opens in the same step.
 */
inline seal(m) {
#ifndef MUT_SEAL
	if
	:: opened[m] < latest -> opened[m] = 0
	:: else -> skip
	fi;
#endif
	sealed[m] = latest - 1
}

#define LOADED1(m) (!first || COUNT(from1[m]) >= SEALS)
#if EPOCHS == 3
#define LOADED(m) (LOADED1(m) && (latest == 2 || COUNT(from2[m]) >= SEALS))
#else
#define LOADED(m) LOADED1(m)
#endif
#define LOADING(m) (HAS(view[latest], m) && opened[m] != latest)
#define LACKS1(m, p) (first && COUNT(from1[m]) < SEALS && HAS(view[1], p) && !HAS(from1[m], p))
#if EPOCHS == 3
#define LACKS2(m, p) (latest == 3 && COUNT(from2[m]) < SEALS && HAS(view[2], p) && !HAS(from2[m], p))
#else
#define LACKS2(m, p) 0
#endif

/* Member m of the latest view seals p, imports its records, and opens when it has the records
   of a seal quorum of each predecessor epoch. */
inline import(m, p) {
	if
	:: LOADING(m) && opened[p] < latest && (LACKS1(m, p) || LACKS2(m, p)) ->
		seal(p);
		tomb[m] = tomb[m] | tomb[p];
		held[m] = (held[m] | held[p]) & ~tomb[m];
		done[m] = done[m] | done[p];
		from1[m] = from1[m] | (BIT(p) & view[1]);
		if
		:: latest == 3 -> from2[m] = from2[m] | (BIT(p) & view[2])
		:: else -> skip
		fi;
		if
		:: LOADED(m) ->
			opened[m] = latest; sealed[m] = latest - 1;
			everOpened[latest] = everOpened[latest] | BIT(m);
			from1[m] = 0; from2[m] = 0;
			checkOpen(m)
		:: else -> skip
		fi
	fi
}

/* Changes to the next view, which keeps all, some or none of the members and is filled up with other instances. */
inline change() {
	if
	:: latest < EPOCHS ->
		latest++;
		if
		:: view[latest] = ((1 << MEMBERS) - 1) << SPARES
#if SPARES > 1 && !defined(REPLACE_ALL_SPARES)
		:: view[latest] = ((1 << MEMBERS) - 1) << 1
#endif
#if EPOCHS == 3
		:: view[latest] = (1 << MEMBERS) - 1
#endif
		fi
	fi
}

#ifdef MUT_CUT
#define CUTQUORUM 1
#else
#define CUTQUORUM W
#endif

/* The options of the main loop are written out for each member, so that a disabled step adds no state. */
#if ALL == 6
#define EACH(f) f(0) f(1) f(2) f(3) f(4) f(5)
#elif ALL == 5
#define EACH(f) f(0) f(1) f(2) f(3) f(4)
#elif ALL == 4
#define EACH(f) f(0) f(1) f(2) f(3)
#else
#define EACH(f) f(0) f(1) f(2)
#endif
#if IDS > 2
#define MEMBER(m) :: atomic { member(m, 0) } :: atomic { member(m, 1) } :: atomic { member(m, 2) }
#else
#define MEMBER(m) :: atomic { member(m, 0) } :: atomic { member(m, 1) }
#endif
#define IMPORTFROM(m, p) :: atomic { import(m, p) }
#if ALL == 6
#define IMPORT(m) IMPORTFROM(m, 0) IMPORTFROM(m, 1) IMPORTFROM(m, 2) IMPORTFROM(m, 3) IMPORTFROM(m, 4) IMPORTFROM(m, 5)
#elif ALL == 5
#define IMPORT(m) IMPORTFROM(m, 0) IMPORTFROM(m, 1) IMPORTFROM(m, 2) IMPORTFROM(m, 3) IMPORTFROM(m, 4)
#elif ALL == 4
#define IMPORT(m) IMPORTFROM(m, 0) IMPORTFROM(m, 1) IMPORTFROM(m, 2) IMPORTFROM(m, 3)
#else
#define IMPORT(m) IMPORTFROM(m, 0) IMPORTFROM(m, 1) IMPORTFROM(m, 2)
#endif

init {
	byte i; byte j; byte k;
	d_step {
		view[1] = (1 << MEMBERS) - 1;
		i = 0;
		do
		:: i < MEMBERS -> opened[i] = 1; i++
		:: else -> break
		od;
		everOpened[1] = view[1];
		i = 0
	}
	do
	:: atomic { entry(0) }
	:: atomic { entry(1) }
#if IDS > 2
	:: atomic { entry(2) }
#endif
	EACH(MEMBER)
	EACH(IMPORT)
	:: atomic { change() }
#if EPOCHS == 3
	:: atomic {
		/* Once a write quorum of epoch 2 has opened, a later view imports nothing from epoch 1. */
		first && latest == 2 && COUNT(everOpened[2]) >= CUTQUORUM -> first = false }
#endif
#ifdef MUT_RESTART
	:: atomic {
		!restarted -> restarted = true; select(i : 0 .. (MEMBERS - 1));
		held[i] = 0; done[i] = 0; tomb[i] = 0; i = 0 }
#endif
	od
}
