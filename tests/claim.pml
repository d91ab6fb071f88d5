/*
 * Model of the claim protocol for one key: three holders, two claimants that
 * race, and one restart of holder 0 at any point (the holders are symmetric).
 * Requests and answers are delayed, lost and reordered; a holder handles up to
 * REQUESTS_MAX requests of each claimant. With NO_RESTART_RULE the restarted
 * holder grants at once; with NO_GENERATIONS its earlier grants still count
 * after it has copied. Both must fail. Claimant 0 may give up before it runs.
 */
#define N 3
#define MAJORITY 2
#define CONTESTED 3
#ifndef REQUESTS_MAX
#define REQUESTS_MAX 1
#endif

byte claim[N]; /* 0: free, 1 or 2: granted to that claimant */
bool able = true; /* holder 0 grants; holders 1 and 2 always do */
/* The generation of holder 0 that each holder knows; [0] is its own. */
bit known[N];
bool served[N]; /* has sent its copy, with the claim in sent_copy */
bool copied[N]; /* the copy has arrived */
byte sent_copy[N];
bool gave_up[2];
bool running[2];
byte runs;

/* By claimant and holder: the answer in flight, and the vote received. */
bool in_flight[6];
bool answer[6];
bit answer_known[6];
bool vote[6];
bit vote_known[6];

#define AT(c, i) ((c) * N + (i))
#ifdef NO_GENERATIONS
#define VALID_GRANT_0(c) (vote[AT(c, 0)])
#else
/* Void when another holder that granted knows a newer generation. */
#define VALID_GRANT_0(c) \
	(vote[AT(c, 0)] && \
	 !(vote[AT(c, 1)] && vote_known[AT(c, 1)] > vote_known[AT(c, 0)]) && \
	 !(vote[AT(c, 2)] && vote_known[AT(c, 2)] > vote_known[AT(c, 0)]))
#endif
#define GRANTS(c) (VALID_GRANT_0(c) + vote[AT(c, 1)] + vote[AT(c, 2)])

/* The messages between claimant c and holder i. */
proctype link(byte c; byte i)
{
	byte requests;

	do
	:: atomic {
		requests < REQUESTS_MAX ->
		requests++;
		in_flight[AT(c, i)] = true;
		answer_known[AT(c, i)] = known[i];
		if
		:: (i != 0 || able) &&
		   (claim[i] == 0 || claim[i] == c + 1) ->
			claim[i] = c + 1;
			answer[AT(c, i)] = true
		:: else -> answer[AT(c, i)] = false
		fi
	   }
	:: atomic {
		in_flight[AT(c, i)] ->
		in_flight[AT(c, i)] = false;
		vote[AT(c, i)] = answer[AT(c, i)];
		vote_known[AT(c, i)] = answer_known[AT(c, i)];
		answer[AT(c, i)] = false;
		answer_known[AT(c, i)] = 0;
		if
		:: GRANTS(c) >= MAJORITY && !gave_up[c] && !running[c] ->
			running[c] = true;
			runs++;
			assert(runs <= 1)
		:: else
		fi
	   }
	:: atomic {
		gave_up[c] && claim[i] == c + 1 -> claim[i] = 0
	   }
	od
}

proctype give_up(byte c)
{
	atomic { !running[c] -> gave_up[c] = true }
}

inline merge(j)
{
	if
	:: sent_copy[j] == 0 || sent_copy[j] == claim[0]
	:: claim[0] == 0 && sent_copy[j] != 0 -> claim[0] = sent_copy[j]
	:: else -> claim[0] = CONTESTED
	fi
}

/* Holder 0 loses its claims and copies those of holders 1 and 2. */
proctype restart()
{
	atomic {
		claim[0] = 0;
		known[0] = 1;
#ifndef NO_RESTART_RULE
		able = false
#endif
	}
#ifndef NO_RESTART_RULE
	do
	:: atomic {
		!served[1] ->
		served[1] = true;
		known[1] = 1;
		sent_copy[1] = claim[1]
	   }
	:: atomic {
		!served[2] ->
		served[2] = true;
		known[2] = 1;
		sent_copy[2] = claim[2]
	   }
	:: atomic { served[1] && !copied[1] -> copied[1] = true; merge(1) }
	:: atomic { served[2] && !copied[2] -> copied[2] = true; merge(2) }
	:: atomic { copied[1] && copied[2] -> able = true; break }
	od
#endif
}

init
{
	atomic {
		run link(0, 0);
		run link(0, 1);
		run link(0, 2);
		run link(1, 0);
		run link(1, 1);
		run link(1, 2);
		run give_up(0);
		run restart()
	}
}
