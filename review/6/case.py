"""Tasks that gave way to urgent work are never placed again on the machine that they ran on."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))

import standins  # noqa: E402

# With TROUBLE=0 everything is done but the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

RULE_S = 90.0  # "no job is left waiting for 90 s while a machine that fits has room"
TASKS = 6


def service(uid):
    return standins.job(uid, "ledger-live", "credit-desk", "service", "high", 1, 2.0, 2.9, 0.0)


async def case(env):
    user = env.user()
    await env.wait_for("a healthy node", lambda: any(b.healthy for b in env.balancer.backends), 30)
    await user.submit(service("req-000001"))
    await env.wait_for("the first service runs", lambda: env.runs("req-000001/0"), 40)
    waiting = "req-000002"
    await user.submit(standins.job(
        waiting, "arrears-scan", "member-desk", "sweep", "normal", TASKS, 1.0, 1.6, 15.0))
    running = lambda: sum(env.runs(f"{waiting}/{i}") for i in range(TASKS))
    await env.wait_for("the array runs", lambda: running() == TASKS, 10)
    if TROUBLE:
        urgent = [f"req-{i:06d}" for i in (3, 4, 5)]
        env.record("ledger-live comes several times as often")
        await asyncio.gather(*(env.user().submit(service(uid)) for uid in urgent))
        await env.wait_for("the services run", lambda: all(
            env.runs(uid + "/0") for uid in urgent), 15)
        await asyncio.sleep(3.0)
        await asyncio.gather(*(env.user().abort(uid) for uid in urgent))
        await env.wait_for("the services are gone", lambda: not any(
            env.runs(uid + "/0") for uid in urgent), 15)
        env.record("the three services are cancelled and gone, no trouble is left")
    since = env.record.now()
    user.keep_polling(waiting)
    while env.record.now() - since < RULE_S:
        if running():
            return True
        room = [m["worker"] for m in env.cloud.running() if m["worker"]
                and m["worker"].used("cpus") + 1.0 <= 8.0]
        if not room:
            raise standins.Failed("no machine has room")
        await asyncio.sleep(0.1)
    env.record(f"no task of {waiting} ran for {env.record.now() - since:.1f} s, beside room for"
               f" them: {room[0].name} uses {room[0].used('cpus')} of 8 CPUs;"
               f" its team member-desk uses 0 of 88 CPUs")
    return False


standins.main(HERE, case, capacity={("teller-box", "soweto-room", False): 1})
