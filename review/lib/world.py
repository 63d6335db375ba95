"""Stand-ins for state service, cloud, workers and users, and the project's controllers.

Everything but the controllers runs in one process and one event loop, on loopback addresses. The
controllers are separate processes, started with the `run` line of deploy/service.toml.
"""
import asyncio
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

import http1

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


class CannotRun(Exception):
    """The case could not be played."""


def json_size(value):
    return len(json.dumps(value, separators=(",", ":"), ensure_ascii=False).encode())


class Bucket:
    """A rate limit with bursts of one second's worth."""

    def __init__(self, rate, burst=None):
        self.rate, self.burst = rate, burst or rate
        self.level, self.at = self.burst, time.monotonic()

    def take(self, count=1):
        now = time.monotonic()
        self.level = min(self.burst, self.level + (now - self.at) * self.rate)
        self.at = now
        if self.level < count:
            return False
        self.level -= count
        return True


class StateService:
    """The key-value store, as the protocol page describes it."""

    def __init__(self, note, rps, write_rps, value_kb, txn_ops):
        self.note = note
        self.keys = {}
        self.holds = {}
        self.revision = 100
        self.last_hold = 0
        self.log = []
        self.changed = asyncio.Condition()
        self.requests = Bucket(rps)
        self.set_limits(write_rps, value_kb, txn_ops)
        self.rejected = 0
        self.leader_writes = 0

    def set_limits(self, write_rps, value_kb, txn_ops):
        self.writes = Bucket(write_rps)
        self.value_bytes, self.txn_ops = int(value_kb * 1024), txn_ops

    async def start(self):
        self.server, self.port = await http1.serve(self.handle)
        self.task = asyncio.ensure_future(self._expire())

    async def _expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for hold in [h for h, (_, ends) in self.holds.items() if ends < now]:
                await self._end_hold(hold)

    async def _end_hold(self, hold):
        self.holds.pop(hold, None)
        gone = [key for key, (_, _, h) in self.keys.items() if h == hold]
        if gone:
            self.revision += 1
            for key in gone:
                del self.keys[key]
                self.log.append({"remove": key, "stamp": self.revision})
            await self._notify()

    async def _notify(self):
        del self.log[:-10000]
        async with self.changed:
            self.changed.notify_all()

    async def handle(self, method, path, query, body):
        if not self.requests.take():
            return 429, None
        if method == "GET" and path == "/changes":
            return await self._changes(query)
        if method == "GET" and path == "/keys":
            return self._range(query)
        if method == "GET" and path.startswith("/keys/"):
            entry = self.keys.get(path[6:])
            if entry is None:
                return 404, {"ledger_rev": self.revision}
            answer = {"path": path[6:], "data": entry[0], "stamp": entry[1]}
            if entry[2]:
                answer["hold"] = entry[2]
            return 200, answer
        if method == "POST" and path == "/commit":
            return await self._commit(body)
        if method == "POST" and path == "/holds":
            ttl = body["ttl_ms"] / 1000
            if not 0.1 <= ttl <= 600:
                return 400, None
            self.last_hold += 1
            self.holds[self.last_hold] = (ttl, time.monotonic() + ttl)
            return 200, {"hold": self.last_hold}
        if path.startswith("/holds/"):
            hold = int(path.split("/")[2])
            if hold not in self.holds:
                return 404, None
            if method == "DELETE":
                await self._end_hold(hold)
            else:
                ttl = self.holds[hold][0]
                self.holds[hold] = (ttl, time.monotonic() + ttl)
            return 200, {"hold": hold}
        return 400, None

    def _range(self, query):
        under, after, most = query["under"], query.get("after", ""), int(query["most"])
        entries, size, more = [], 0, False
        for key in sorted(self.keys):
            if not key.startswith(under) or key <= after:
                continue
            entry = {"path": key, "data": self.keys[key][0], "stamp": self.keys[key][1]}
            size += json_size(entry)
            if len(entries) >= min(most, 1000) or size > 512 * 1024:
                more = True
                break
            entries.append(entry)
        return 200, {"entries": entries, "more": more, "ledger_rev": self.revision}

    async def _changes(self, query):
        under, after = query["under"], int(query["after"])
        until = time.monotonic() + min(60000, int(query.get("hold_ms", "0"))) / 1000
        while True:
            if self.log and after < self.log[0]["stamp"] - 1 and len(self.log) >= 10000:
                return 410, None
            found = [e for e in self.log
                     if e["stamp"] > after and e.get("put", e.get("remove")).startswith(under)]
            left = until - time.monotonic()
            if found or left <= 0:
                return 200, {"ledger_rev": self.revision, "log": found}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def _commit(self, body):
        status, answer = await self._execute(body)
        self.note("transaction", status=status,
                  changes=["+" + op["put"] if "put" in op else "-" + op["remove"]
                           for op in body.get("then", [])])
        return status, answer

    async def _execute(self, body):
        when, then = body.get("when", []), body.get("then", [])
        if len(then) > self.txn_ops or len(when) > 4 * self.txn_ops or json_size(body) > 64 * 1024:
            self.rejected += 1
            return 400, {"error": "too large"}
        for op in then:
            if op.get("hold") and op["hold"] not in self.holds:
                return 400, {"error": "no such lease"}
            if "put" in op and json_size(op["data"]) > self.value_bytes:
                self.rejected += 1
                return 400, {"error": "value too large: " + op["put"]}
        if not self.writes.take(max(1, len(then))):
            return 429, None
        failed = [c["path"] for c in when
                  if (self.keys[c["path"]][1] if c["path"] in self.keys else 0) != c["stamp"]]
        if failed:
            return 409, {"failed": failed, "ledger_rev": self.revision}
        if then:
            self.revision += 1
            for op in then:
                if "put" in op:
                    self.leader_writes += op["put"] == "dw/leader"
                    self.keys[op["put"]] = (op["data"], self.revision, op.get("hold", 0))
                    self.log.append(
                        {"put": op["put"], "data": op["data"], "stamp": self.revision})
                elif self.keys.pop(op["remove"], None) is not None:
                    self.log.append({"remove": op["remove"], "stamp": self.revision})
            await self._notify()
        return 200, {"ledger_rev": self.revision}


class Machine:
    def __init__(self, name, build, site, loaners, created, boot_s):
        self.name, self.build, self.site, self.loaners = name, build, site, loaners
        self.created, self.up_at, self.gone_at = created, created + boot_s, None
        self.worker = None


class Cloud:
    """Rents machines; a worker of the world starts on each of them when it is up."""

    def __init__(self, world, builds, rps, lag_s, boot_s):
        self.world, self.builds, self.lag, self.boot_s = world, builds, lag_s, boot_s
        self.limit = Bucket(rps, 2 * rps)
        self.machines, self.hires, self.number = {}, {}, 0
        self.capacity = None  # how many machines there are to rent; None: any number

    async def start(self):
        self.server, self.port = await http1.serve(self.handle)

    def rent(self, build, site, loaners, age_s=0.0, boot_s=None):
        self.number += 1
        boot = self.boot_s * random.uniform(0.6, 1.5) if boot_s is None else boot_s
        machine = Machine("vm-%06d" % self.number, build, site, loaners,
                          time.monotonic() - age_s, boot)
        self.machines[machine.name] = machine
        self.world.spawn(self._boot(machine))
        return machine

    async def _boot(self, machine):
        await asyncio.sleep(max(0, machine.up_at - time.monotonic()))
        if machine.gone_at is None:
            machine.worker = Worker(self.world, machine)
            await machine.worker.start()

    def take(self, machine):
        if machine.gone_at is None:
            machine.gone_at = time.monotonic()
            self.world.note("machine gone", host=machine.name)
            if machine.worker:
                machine.worker.end()

    async def handle(self, method, path, query, body):
        if not self.limit.take():
            return 429, None
        if path == "/catalog":
            return 200, {"builds": self.builds}
        if method == "POST" and path == "/rentals":
            if body["hire"] not in self.hires:
                count = min(50, body["count"])
                if self.capacity is not None:
                    rented = sum(m.gone_at is None for m in self.machines.values())
                    count = min(count, self.capacity - rented)
                if count <= 0:
                    return 503, {"error": "no capacity"}
                self.hires[body["hire"]] = [
                    self.rent(body["build"], body["site"], body["loaners"]).name
                    for _ in range(count)]
                self.world.note("rented", hire=body["hire"], hosts=self.hires[body["hire"]])
            return 200, {"hosts": self.hires[body["hire"]]}
        if method == "POST" and path == "/rentals/return":
            for name in body["hosts"]:
                if name in self.machines:
                    self.take(self.machines[name])
            return 200, {}
        if method == "GET" and path == "/rentals":
            then = time.monotonic() - self.lag
            after, most = query.get("after", ""), int(query["most"])
            listed = [m for n, m in sorted(self.machines.items())
                      if n > after and m.created <= then
                      and (m.gone_at is None or m.gone_at > then)]
            return 200, {"hosts": [
                {"uid": m.name, "address": m.worker.address if m.worker else "127.0.0.1:1",
                 "build": m.build, "site": m.site, "loaners": m.loaners,
                 "standing": "running" if m.up_at <= then else "booting",
                 "age_s": then - m.created} for m in listed[:most]], "more": len(listed) > most}
        return 400, None


class Piece:
    def __init__(self, attempt):
        self.attempt, self.standing, self.cause, self.since = attempt, "pulling", None, None
        self.fails = False


class Worker:
    """The worker of one machine."""

    def __init__(self, world, machine):
        self.world, self.machine = world, machine
        self.tenure, self.tally, self.warrant = 1, 0, 0
        self.pieces, self.results, self.images = {}, set(), {}
        self.lease_from = time.monotonic()
        self.changed, self.ended, self.paused = True, False, False
        self.sick = False  # a sick machine fails every task that it starts
        self.node = random.randrange(len(world.nodes))
        self.client = None

    async def start(self):
        self.server, port = await http1.serve(self.handle)
        self.address = "127.0.0.1:%d" % port
        if self.machine.gone_at is None:
            self.world.spawn(self._work())
            self.world.spawn(self._reports())

    def end(self):
        self.ended = True
        self.server.close()
        for name, piece in self.pieces.items():
            self._leave(name, piece)

    def _leave(self, name, piece):
        if piece.standing in ("running", "flushing"):
            self.world.ended(name, piece, self.machine)

    def _report(self):
        self.tally += 1
        build = self.machine
        pieces = []
        for name, piece in self.pieces.items():
            item = {"piece": name, "try": piece.attempt, "standing": piece.standing}
            if piece.standing == "exited":
                item["cause"] = piece.cause
            pieces.append(item)
        return {"host": build.name, "address": self.address, "build": build.build,
                "site": build.site, "loaners": build.loaners, "tenure": self.tenure,
                "tally": self.tally, "warrant": self.warrant, "recall_s": None, "pieces": pieces}

    async def handle(self, method, path, query, body):
        while self.paused:
            await asyncio.sleep(0.02)
        if method == "GET" and path == "/status":
            return 200, self._report()
        if "warrant" not in body or "tenure" not in body:
            return 400, None
        if body["warrant"] < self.warrant or body["tenure"] != self.tenure:
            return 409, self._report()
        self._see(body["warrant"])
        self._execute(body["orders"], "direct")
        return 200, self._report()

    def _see(self, warrant):
        if warrant > self.warrant:
            self.warrant = warrant
            self.changed = True

    def _exit(self, name, piece, cause):
        self._leave(name, piece)
        piece.standing, piece.cause = "exited", cause
        self.changed = True
        if cause == "done":
            self.results.add(name)
            self.world.done.add(name)

    def _execute(self, orders, way):
        for order in orders:
            name, attempt = order["piece"], order["try"]
            piece = self.pieces.get(name)
            self.world.note("order", host=self.machine.name, way=way, **order)
            if order["verb"] == "start":
                self._start(name, attempt, piece)
            elif piece is None or piece.attempt != attempt:
                continue
            elif order["verb"] == "halt" and piece.standing != "exited":
                self._exit(name, piece, "stopped")
            elif order["verb"] == "clear" and piece.standing == "exited":
                del self.pieces[name]
                self.changed = True

    def _start(self, name, attempt, piece):
        if piece is not None and piece.attempt == attempt:
            return
        if piece is not None and piece.standing != "exited":
            self.world.note("start refused, in use", host=self.machine.name, piece=name)
            return
        uid, _, index = name.rpartition("/")
        job = self.world.jobs.get(uid)
        new = Piece(attempt)
        self.pieces[name] = new
        self.changed = True
        if job is None or int(index) >= job["pieces"]:
            new.standing, new.cause = "exited", "no_such"
            return
        build = next(b for b in self.world.cloud.builds if b["name"] == self.machine.build)
        used_cpus = used_gb = 0.0
        for other, p in self.pieces.items():
            if p is not new and p.standing != "exited":
                used_cpus += self.world.jobs[other.rpartition("/")[0]]["cpus"]
                used_gb += self.world.jobs[other.rpartition("/")[0]]["memory_gb"]
        if used_cpus + job["cpus"] > build["cpus"] + 1e-9 \
                or used_gb + job["memory_gb"] > build["memory_gb"] + 1e-9:
            new.standing, new.cause = "exited", "full"
            return
        ready = self.images.setdefault(
            job["bundle"], time.monotonic() + job["pull_gb"] / build["fetch_gb_per_s"])
        new.since = ready

    async def _work(self):
        while not self.ended:
            await asyncio.sleep(0.05)
            if self.paused:
                continue
            now = time.monotonic()
            if now - self.lease_from > self.world.lease_s:
                self.world.note("lease expired", host=self.machine.name, tenure=self.tenure)
                for name, piece in self.pieces.items():
                    self._leave(name, piece)
                self.pieces.clear()
                self.tenure += 1
                self.lease_from = now
                self.changed = True
            for name, piece in list(self.pieces.items()):
                job = self.world.jobs.get(name.rpartition("/")[0])
                if piece.standing == "pulling" and now >= piece.since:
                    if name in self.results:
                        self._exit(name, piece, "done")
                        continue
                    piece.standing, piece.since = "running", now
                    piece.fails = self.sick
                    self.changed = True
                    self.world.began(name, piece, self.machine)
                elif piece.standing == "running" and piece.fails and now - piece.since >= 1.0:
                    self.world.note("task fails", piece=name, host=self.machine.name)
                    self._exit(name, piece, "error")
                elif piece.standing == "running" and job["shape"] != "service" \
                        and now - piece.since >= job["expected_s"]:
                    self._exit(name, piece, "done")

    async def _reports(self):
        await asyncio.sleep(random.uniform(0, 0.5))
        last = 0.0
        while not self.ended:
            due = last + self.world.report_s * random.uniform(0.75, 1.25)
            while not self.ended:
                now = time.monotonic()
                if not self.paused and (now >= due or self.changed and now >= last + 0.5):
                    break
                await asyncio.sleep(0.05)
            if self.ended:
                return
            last, self.changed = time.monotonic(), False
            await self._send(last)

    async def _send(self, sent):
        tenure = self.tenure
        address = self.world.nodes[self.node].client_address
        if self.client is None or self.client.address != address:
            if self.client:
                self.client.close()
            self.client = http1.Client(address)
        status, body, _ = await self.client.call("POST", "/hello", self._report(), 4.0)
        if status != 200:
            self.world.note("report not taken", host=self.machine.name,
                            node=self.world.nodes[self.node].name, status=status, answer=body)
        while self.paused:
            await asyncio.sleep(0.02)
        if time.monotonic() - sent > 4.0:
            status = 0
        if self.ended or self.tenure != tenure:
            return
        if status == 200:
            if (body or {}).get("warrant", 0) >= self.warrant:
                self.lease_from = sent
                self._see(body["warrant"])
                self._execute(body["orders"], "report")
            return
        names = [node.name for node in self.world.nodes]
        steward = (body or {}).get("steward") if status == 421 else None
        if steward in names and steward != names[self.node]:
            self.node = names.index(steward)
            await asyncio.sleep(random.uniform(0, 0.5))
        else:
            self.node = (self.node + 1) % len(names)
            await asyncio.sleep(1.0)
        self.changed = True


class StateProxy:
    """Stands between one controller and the state service, at connection level.

    `lose(request bytes)` returns True for a request that is passed on and whose answer is dropped.
    """

    def __init__(self, port):
        self.target = port
        self.lose = lambda request: False

    async def start(self):
        self.server = await asyncio.start_server(self._on_connection, "127.0.0.1", 0, backlog=256)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _on_connection(self, reader, writer):
        try:
            back_reader, back_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.close()
            return
        dropped = [False]

        async def forward():
            while data := await reader.read(1 << 17):
                if self.lose(data):
                    dropped[0] = True
                back_writer.write(data)
                await back_writer.drain()

        async def backward():
            while data := await back_reader.read(1 << 17):
                if not dropped[0]:
                    writer.write(data)
                    await writer.drain()

        tasks = [asyncio.ensure_future(forward()), asyncio.ensure_future(backward())]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            writer.close()
            back_writer.close()


def free_port():
    """Returns a free port below the range from which outgoing connections take theirs."""
    while True:
        port = random.randrange(12000, 32000)
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
                return port
            except OSError:
                pass


class Node:
    """One controller process."""

    def __init__(self, world, name, zone):
        self.world, self.name, self.zone = world, name, zone
        self.client_address = ("127.0.0.1", free_port())
        self.internal_port = free_port()
        self.proxy = None
        self.process = None
        self.starts = 0

    def start(self):
        with open(os.path.join(ROOT, "deploy", "service.toml"), "rb") as f:
            run = shlex.split(tomllib.load(f)["run"])
        settings = os.path.join(self.world.folder, self.name + ".toml")
        with open(settings, "w") as f:
            f.write(self.world.settings(self))
        self.starts += 1
        with open(os.path.join(self.world.folder, self.name + ".log"), "ab") as log:
            self.process = subprocess.Popen(
                run + [settings], cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                env=dict(os.environ, LOG_LEVEL=self.world.log_level))
        self.world.note("controller started", node=self.name, pid=self.process.pid)

    def send(self, sig):
        self.process.send_signal(sig)
        self.world.note("signal sent", node=self.name, signal=signal.Signals(sig).name)

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
            self.world.note("controller killed", node=self.name)

    def log_lines(self):
        with open(os.path.join(self.world.folder, self.name + ".log"), errors="replace") as f:
            return f.read().splitlines()


class World:
    """A small deployment: state service, cloud, workers, users and three controllers."""

    def __init__(self, case_folder, site, log_level="info"):
        self.case_folder, self.site, self.log_level = case_folder, site, log_level
        self.record = open(os.path.join(case_folder, "record.txt"), "w")
        self.temp = tempfile.TemporaryDirectory(prefix="dewreach-review-")
        self.folder = self.temp.name
        self.began_at = time.monotonic()
        self.jobs, self.done, self.on_machine, self.starts = {}, set(), {}, []
        self.twice = []
        self.tasks = set()
        self.report_s, self.lease_s = site["report_s"], site["lease_s"]
        self.nodes = [Node(self, "sentry-%d" % i, site["zones"][i % len(site["zones"])])
                      for i in range(3)]

    def note(self, what, **fields):
        self.record.write("%8.3f %s %s\n" % (
            time.monotonic() - self.began_at, what,
            " ".join("%s=%s" % (k, json.dumps(v)) for k, v in fields.items())))
        self.record.flush()

    def now(self):
        return time.monotonic() - self.began_at

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._on_task_end)
        return task

    def _on_task_end(self, task):
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.note("stand-in failed", error=repr(task.exception()))
            print("stand-in failed:", repr(task.exception()), file=sys.stderr)

    async def start_services(self, boot_s=1.5):
        s = self.site
        self.state = StateService(
            self.note, s["rps"], s["write_rps"], s["value_kb"], s["txn_ops"])
        await self.state.start()
        self.cloud = Cloud(self, s["builds"], s["cloud_rps"], s["list_lag_s"], boot_s)
        await self.cloud.start()

    async def add_proxies(self):
        for node in self.nodes:
            node.proxy = StateProxy(self.state.port)
            await node.proxy.start()

    def settings(self, node):
        s = self.site
        text = ['host_name = "%s"' % node.name, 'location = "%s"' % node.zone,
                'client_listen = "127.0.0.1:%d"' % node.client_address[1],
                'internal_addr = "127.0.0.1:%d"' % node.internal_port]
        for other in self.nodes:
            if other is not node:
                text += ["[[members]]", 'host_name = "%s"' % other.name,
                         'location = "%s"' % other.zone,
                         'address = "127.0.0.1:%d"' % other.internal_port]
        state = node.proxy.port if node.proxy else self.state.port
        text += ["[external]", 'cloud = "127.0.0.1:%d"' % self.cloud.port,
                 'state = "127.0.0.1:%d"' % state,
                 "[cluster]", "nodes = 3", "zones = %s" % json.dumps(sorted(s["zones"])),
                 "time_bound_ms = 250.0"]
        for name, cpus, cpus_max in s["teams"]:
            text += ["[[cluster.teams]]", 'name = "%s"' % name, "cpus = %.1f" % cpus,
                     "cpus_max = %.1f" % cpus_max, "gpus = 0.0", "gpus_max = 0.0"]
        text += ["[cluster.workers]", "report_s = %.2f" % s["report_s"],
                 "lease_s = %.2f" % s["lease_s"], "gang_wait_s = 45.0", "gang_peer_s = 5.0",
                 "cancel_s = %.2f" % s["cancel_s"],
                 "[cluster.state]", "rps = %.1f" % s["rps"], "write_rps = %.1f" % s["write_rps"],
                 "value_kb = %.1f" % s["value_kb"], "txn_ops = %d" % s["txn_ops"]]
        if "next" in s:
            text += ["[cluster.state.next]", "write_rps = %.1f" % s["next"]["write_rps"],
                     "value_kb = %.1f" % s["next"]["value_kb"],
                     "txn_ops = %d" % s["next"]["txn_ops"]]
        text += ["[cluster.cloud]", "rps = %.1f" % s["cloud_rps"],
                 "list_lag_s = %.1f" % s["list_lag_s"],
                 "[cluster.machine_limits]", "cpu_share = %.3f" % s["cpu_share"],
                 "ram_mb = %.1f" % s["ram_mb"], "max_connections = %d" % s["max_connections"]]
        return "\n".join(text) + "\n"

    # what runs

    def began(self, name, piece, machine):
        self.note("runs", piece=name, attempt=piece.attempt, host=machine.name)
        self.starts.append((self.now(), name, machine.name))
        others = self.on_machine.setdefault(name, set())
        if others:
            self.twice.append((self.now(), name, machine.name, sorted(others)))
            self.note("RAN TWICE", piece=name, host=machine.name, also=sorted(others))
        others.add(machine.name)

    def ended(self, name, piece, machine):
        self.note("ends", piece=name, attempt=piece.attempt, host=machine.name)
        self.on_machine.get(name, set()).discard(machine.name)

    # users

    def job(self, uid, **fields):
        job = {"uid": uid, "lane": "arrears-scan", "desk": self.site["teams"][0][0],
               "shape": "sweep", "urgency": "normal", "pieces": 1, "cpus": 1.0, "cards": 0.0,
               "memory_gb": 1.0, "bundle": "img-1", "pull_gb": 0.5, "builds": None, "site": None,
               "together": False, "scatter": False, "loaners": False, "expected_s": 5.0,
               "mark_every_s": 0.0, "mark_cost_s": 0.0, "due_s": None}
        job.update(fields)
        self.jobs[uid] = job
        return job

    async def ask(self, node, method, path, body=None, timeout=5.0):
        client = http1.Client(node.client_address)
        status, answer, headers = await client.call(method, path, body, timeout)
        client.close()
        self.note("user", node=node.name, request="%s %s" % (method, path), status=status,
                  answer=answer)
        return status, answer, headers

    async def submit(self, uid, first=None, for_s=60.0):
        """Submits as the page says; returns the accepting status, or the last one."""
        until, order = time.monotonic() + for_s, random.sample(self.nodes, len(self.nodes))
        if first is not None:
            order = [first] + [n for n in order if n is not first]
        turn = 0
        while True:
            status, _, headers = await self.ask(
                order[turn % len(order)], "POST", "/work", self.jobs[uid])
            if status in (200, 201, 400, 422) or time.monotonic() > until:
                return status
            turn += 1
            await asyncio.sleep(max(1.0, min(30.0, float(headers.get("retry-after", 1)))))

    async def cancel(self, uid, for_s=60.0):
        """Cancels as the page says; returns the last status."""
        until = time.monotonic() + for_s
        while True:
            status, _, headers = await self.ask(
                random.choice(self.nodes), "POST", "/work/%s/abort" % uid)
            if status == 200 or time.monotonic() > until:
                return status
            await asyncio.sleep(max(1.0, min(30.0, float(headers.get("retry-after", 1)))))

    async def poll(self, uid, node=None):
        status, answer, _ = await self.ask(
            node or random.choice(self.nodes), "GET", "/work/" + uid, timeout=2.0)
        return status, (answer or {}).get("standing")

    # course

    async def wait_for(self, what, condition, timeout):
        until = time.monotonic() + timeout
        while True:
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return result
            if time.monotonic() > until:
                raise CannotRun("waited in vain: " + what)
            await asyncio.sleep(0.1)

    async def all_ready(self):
        for node in self.nodes:
            async def ready(node=node):
                client = http1.Client(node.client_address)
                status, _, _ = await client.call("GET", "/ready", None, 1.0)
                client.close()
                return status == 200
            await self.wait_for("ready", ready, 20)

    def leader(self):
        entry = self.state.keys.get("dw/leader")
        if entry is None:
            return None
        return next((n for n in self.nodes if n.name == entry[0].get("name")), None)

    def close(self):
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.kill()
                node.process.wait()
        for node in self.nodes:
            path = os.path.join(self.folder, node.name + ".log")
            if os.environ.get("KEEP_LOGS") and os.path.exists(path):
                with open(path, "rb") as f, open(
                        os.path.join(os.environ["KEEP_LOGS"], node.name + ".log"), "wb") as g:
                    g.write(f.read())
        self.record.close()
        self.temp.cleanup()


def play(case_folder, site, scenario, trouble, limit_s=115):
    """Runs a scenario; exits with 1 if it returns a broken rule, 0 if not, 2 if it cannot run.

    Without `trouble` the scenario does the same without the disruption.
    """

    async def main():
        world = World(case_folder, site)
        code = 2

        def stop():
            for node in world.nodes:
                node.kill()
            os._exit(2)

        for sig in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(sig, stop)
        try:
            broken = await asyncio.wait_for(scenario(world, trouble), limit_s)
            code, text = (1, broken) if broken else (0, "the rule held")
        except (CannotRun, asyncio.TimeoutError, OSError) as e:
            text = "could not run: %r" % e
        finally:
            for node in world.nodes:
                node.kill()
        world.note("end", result=text)
        world.close()
        try:
            print(text, flush=True)
        except OSError:
            pass
        # All processes that were started have ended; open connections need no orderly end.
        os._exit(code)

    asyncio.run(main())
