/* Hand-over of the scheduler's role (internal/core/sched: Settle, Report).
 *
 * One upstream slot, two routers, schedulers A (dies) and B (follows). A router
 * that holds the slot tells B of it in its first report. B grants only after it
 * has listened for the settling time, in which every live router reports.
 *
 * Property:
 *   single  the slot is not held by two routers at once
 *
 * Broken variant: NO_SETTLE (B grants as soon as it hears of one router).
 */
bool holds[2];
bool toldB[2];
bool aUp = true;
bool settled = false;
bool bKnows = false;   /* B has heard that the slot is held */
bool leaseOver = false;/* grants of A cannot be used any more */
byte grantA = 2;       /* router A granted to, not yet used; 2 none */
byte grantB = 2;

active proctype SchedulerA()
{
	if
	:: atomic { aUp && grantA == 2 && !holds[0] && !holds[1] -> grantA = 0 }
	:: atomic { aUp && grantA == 2 && !holds[0] && !holds[1] -> grantA = 1 }
	fi;
	aUp = false
}

active [2] proctype Router()
{
	byte me = _pid - 1;
	do
	:: atomic { grantA == me && !toldB[me] -> holds[me] = true; grantA = 2 }
	:: atomic { !aUp && !toldB[me] -> /* turns to B: A's grants are void */
		if :: grantA == me -> grantA = 2 :: else fi;
		toldB[me] = true; bKnows = bKnows || holds[me] }
	:: atomic { grantB == me -> holds[me] = true; grantB = 2 }
	:: atomic { holds[me] && toldB[me] -> holds[me] = false; bKnows = false }
	:: toldB[me] && !aUp -> break
	od;
	/* after its last step it may still take one grant of B */
	if
	:: atomic { grantB == me -> holds[me] = true; grantB = 2 }
	:: skip
	fi
}

active proctype SchedulerB()
{
	(!aUp);
#ifndef NO_SETTLE
	(toldB[0] && toldB[1]); /* the settling time: every live router has reported */
#else
	(toldB[0] || toldB[1]);
#endif
	settled = true;
	if
	:: atomic { !bKnows && grantB == 2 && toldB[0] -> grantB = 0; bKnows = true }
	:: atomic { !bKnows && grantB == 2 && toldB[1] -> grantB = 1; bKnows = true }
	:: bKnows -> skip
	fi
}

ltl single { [] !(holds[0] && holds[1]) }
