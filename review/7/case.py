"""The rest of an array waits beside room that is kept free for services that may come."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))

import standins  # noqa: E402

# With TROUBLE=0 everything is done but the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

RULE_S = 90.0  # "no job is left waiting for 90 s while a machine that fits has room"

VAULT_BOX = {"name": "vault-box", "cpus": 16.0, "cards": 0, "memory_gb": 32.0, "cache_gb": 40.0,
             "fetch_gb_per_s": 0.2, "price": 0.64, "spot_price": 0.15, "ready_s": 20.0,
             "sites": ["durban-rack", "gqeberha-hall"]}


async def services(env, user, first, count):
    for i in range(first, first + count):
        await user.submit(standins.job(
            f"req-{i:06d}", "ledger-live", "credit-desk", "service", "high", 1, 2.0, 2.9, 0.0))
    await env.wait_for("the services run", lambda: all(
        env.runs(f"req-{i:06d}/0") for i in range(first, first + count)), 40)


async def case(env):
    user = env.user()
    await env.wait_for("a healthy node", lambda: any(b.healthy for b in env.balancer.backends), 30)
    await services(env, user, 1, 5)
    waiting = "req-000100"
    env.behaviour[waiting] = {"run_s": 5.0}
    await user.submit(standins.job(
        waiting, "arrears-scan", "member-desk", "sweep", "normal", 3, 1.0, 1.6, 5.0,
        loaners=True))
    begun = lambda: {piece for _, piece, _ in env.starts if piece.startswith(waiting)}
    await env.wait_for("two tasks of the array run", lambda: len(begun()) >= 2, 20)
    if TROUBLE:
        env.record("services come several times as often for a moment")
        await services(env, user, 6, 2)
    await env.wait_for("the begun tasks are over", lambda: not any(
        env.runs(piece) for piece in begun()), 30)
    user.keep_polling(waiting)
    since = env.record.now()
    while env.record.now() - since < RULE_S:
        if len(begun()) == 3:
            return True
        room = [m["worker"] for m in env.cloud.running() if m["worker"]
                and m["worker"].used("cpus") + 1.0 <= 16.0
                and m["worker"].used("memory_gb") + 1.6 <= 32.0]
        if not room:
            raise standins.Failed("no machine has room")
        await asyncio.sleep(0.1)
    env.record(f"{waiting} has waited {env.record.now() - since:.1f} s for its third task beside"
               f" room for it: {room[0].name} uses {room[0].used('cpus')} of 16 CPUs;"
               f" its team member-desk uses 0 of 88 CPUs")
    return False


standins.main(HERE, case, capacity={("vault-box", "durban-rack", False): 1}, types=[VAULT_BOX])
