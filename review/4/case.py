"""A leader that is cut from the state service and the other controllers goes on saying "ready"."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))

import polls  # noqa: E402
import standins  # noqa: E402

CUT_S = 98.0


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
    if env.trouble:
        env.record(f"{leader.name}, which leads, is cut from the state service and the others")
        env.cut_from_peers_and_state(leader)
    ends = env.record.now() + CUT_S
    await asyncio.gather(*(p.run(ends) for p in asked))
    return not polls.forgotten(env, asked)


standins.main(HERE, case, capacity={("teller-box", zone, False): 2 for zone in standins.ZONES})
