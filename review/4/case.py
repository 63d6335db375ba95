"""A leader that is cut from the state service and the other controllers goes on saying "ready"."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))

import polls  # noqa: E402
import standins  # noqa: E402

# With TROUBLE=0 everything is done but the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

ASKED_S = 93.0  # 21 questions, the last 92 s after the first


async def case(env):
    await env.wait_for("a leader", lambda: env.leader() is not None, 30)
    await env.wait_for("all nodes healthy",
                       lambda: all(b.healthy for b in env.balancer.backends), 30)
    asked = []
    for i in range(6):
        user = env.user()
        uid = f"req-{i + 1:06d}"
        await user.submit(standins.job(
            uid, "ledger-live", "credit-desk", "service", "high", 1, 2.0, 2.9, 0.0))
        asked.append(polls.Polls(env, user, uid))
    await env.wait_for("all services run",
                       lambda: all(env.runs(p.uid + "/0") for p in asked), 30)
    leader = env.leader()
    if TROUBLE:
        env.record(f"{leader.name}, which leads, is cut from the state service and the others")
        env.cut_from_peers_and_state(leader)
    # The cut leader may still answer until its lease is over.
    await asyncio.sleep(3.0)
    ends = env.record.now() + ASKED_S
    await asyncio.gather(*(p.run(ends) for p in asked))
    return not polls.forgotten(env, asked)


standins.main(HERE, case, capacity={("teller-box", zone, False): 2 for zone in standins.ZONES})
