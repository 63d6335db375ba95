"""Two jobs with a mistake quarantine a healthy machine; it stays barred once they are cancelled."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))

import standins  # noqa: E402

# With TROUBLE=0 everything is done but the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

RULE_S = 90.0  # "no job is left waiting for 90 s while a machine that fits has room"


async def case(env):
    user = env.user()
    await env.wait_for("a healthy node", lambda: any(b.healthy for b in env.balancer.backends), 30)
    await user.submit(standins.job(
        "req-000001", "ledger-live", "credit-desk", "service", "high", 1, 2.0, 2.9, 0.0))
    await env.wait_for("the service runs", lambda: env.runs("req-000001/0"), 40)
    mistaken = ("req-000002", "req-000003")
    for uid in mistaken:
        # Jobs "submitted with a mistake" fail on every machine until their user cancels them.
        env.behaviour[uid] = {"error_after_s": 0.5} if TROUBLE else {"run_s": 0.5}
        await env.user().submit(standins.job(
            uid, "arrears-scan", "member-desk", "sweep", "normal", 1, 1.0, 1.6, 15.0))
    await env.wait_for("both jobs ran once", lambda: all(
        any(piece == uid + "/0" for _, piece, _ in env.starts) and not env.runs(uid + "/0")
        for uid in mistaken), 30)
    await asyncio.sleep(1.0)
    for uid in mistaken:
        await env.user().abort(uid)
    env.record("the mistaken jobs are cancelled, no trouble is left")
    waiting = "req-000004"
    await user.submit(standins.job(
        waiting, "repayment-sweep", "collections", "sweep", "normal", 1, 2.0, 2.8, 10.0))
    user.keep_polling(waiting)
    accepted = env.record.now()
    while env.record.now() - accepted < RULE_S:
        if any(piece.startswith(waiting) for _, piece, _ in env.starts):
            return True
        room = [m["worker"] for m in env.cloud.running() if m["worker"]
                and m["worker"].used("cpus") + 2.0 <= 8.0
                and m["worker"].used("memory_gb") + 2.8 <= 32.0]
        if not room:
            raise standins.Failed("no machine has room")
        await asyncio.sleep(0.1)
    env.record(f"{waiting} has waited {env.record.now() - accepted:.1f} s beside room for it:"
               f" {room[0].name} uses {room[0].used('cpus')} of 8 CPUs;"
               f" its team collections uses 0 of 112 CPUs")
    return False


standins.main(HERE, case, capacity={("teller-box", "soweto-room", False): 1})
