"""Users that ask about their jobs, and how long none of the questions about a job was answered."""

import asyncio

POLL_S = 4.6  # "users poll about every 5 s"
RULE_S = 90.0  # rule `forgotten`: "for 90 s all polls for it fail while most others are answered"


class Polls:
    """The questions of one user about one job."""

    def __init__(self, env, user, uid):
        self.env, self.user, self.uid = env, user, uid
        self.results = []

    async def run(self, ends):
        while self.env.record.now() < ends:
            sent = self.env.record.now()
            status, _ = await self.user.poll(self.uid)
            self.results.append((sent, self.env.record.now(), status))
            await asyncio.sleep(max(0.0, sent + POLL_S - self.env.record.now()))

    def longest_silence(self):
        """Returns the longest (from, to) in which questions were sent and none was answered."""
        best, begin = (0.0, 0.0), None
        for sent, answered, status in self.results:
            if status == 200:
                begin = None
            else:
                begin = sent if begin is None else begin
                if answered - begin > best[1] - best[0]:
                    best = (begin, answered)
        return best


def forgotten(env, polls):
    """Returns the jobs that were forgotten, by the rule, and records the longest silences."""
    jobs = []
    for p in polls:
        begin, end = p.longest_silence()
        others = [status for other in polls if other is not p
                  for sent, _, status in other.results if begin <= sent <= end]
        answered = sum(1 for status in others if status == 200)
        env.record(f"{p.uid}: longest time in which all polls failed: {end - begin:.1f} s;"
                   f" of the other polls then, {answered} of {len(others)} were answered")
        if end - begin >= RULE_S and answered * 2 > len(others):
            jobs.append(p.uid)
    return jobs
