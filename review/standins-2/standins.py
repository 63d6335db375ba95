"""Stand-ins for the state service, the cloud, workers, the load balancer and the network.

They follow the published protocol. All of them run in one process, on loopback addresses and the
real clock; the controllers are processes of their own, started with the line of the deploy file.
"""

import asyncio
import collections
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

import http1

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


class Bucket:
    """A rate limit with a burst of the given number of seconds."""

    def __init__(self, rate, seconds=1.0):
        self.rate, self.most = rate, rate * seconds
        self.tokens, self.at = self.most, time.monotonic()

    def take(self, count=1):
        now = time.monotonic()
        self.tokens = min(self.most, self.tokens + (now - self.at) * self.rate)
        self.at = now
        if self.tokens < count:
            return False
        self.tokens -= count
        return True


class Record:
    """The record of a run: one line for each thing sent, answered or run."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


class StateService:
    """The state service: keys, conditional transactions, leases and watches."""

    def __init__(self, record, rps, write_rps, value_kb, txn_ops):
        self.record = record
        self.requests, self.writes = Bucket(rps), Bucket(write_rps)
        self.value_bytes, self.txn_ops = int(value_kb * 1024), txn_ops
        self.revision = 1
        self.keys = {}
        self.leases = {}
        self.next_lease = 1
        self.log = collections.deque(maxlen=10000)
        self.changed = asyncio.Event()
        self.outage = False
        self.on_commit = None

    async def start(self):
        self.server, self.port = await http1.serve(self.handle)
        asyncio.create_task(self.expire())

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease, (ttl, ends) in list(self.leases.items()):
                if self.outage:
                    self.leases[lease] = (ttl, now + ttl)
                elif now > ends:
                    self.end_lease(lease)

    def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        self.record(f"state: lease {lease} ended")
        gone = [key for key, entry in self.keys.items() if entry[2] == lease]
        if gone:
            self.apply([{"remove": key} for key in gone])
        return True

    def apply(self, then):
        self.revision += 1
        for change in then:
            if "put" in change:
                key = change["put"]
                self.keys[key] = (change["data"], self.revision, change.get("hold") or 0)
                self.log.append({"put": key, "data": change["data"], "stamp": self.revision})
            else:
                key = change["remove"]
                if self.keys.pop(key, None) is not None:
                    self.log.append({"remove": key, "stamp": self.revision})
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, method, path, body):
        url, _, query = path.partition("?")
        args = dict(part.partition("=")[::2] for part in query.split("&")) if query else {}
        if self.outage:
            return 503, None
        if not self.requests.take():
            return 429, None
        await asyncio.sleep(0.003)
        if url == "/keys":
            return self.list_keys(args)
        if url.startswith("/keys/"):
            entry = self.keys.get(url[len("/keys/"):])
            if entry is None:
                return 404, {"ledger_rev": self.revision}
            return 200, {"path": url[len("/keys/"):], "data": entry[0], "stamp": entry[1],
                         "hold": entry[2]}
        if url == "/commit":
            return await self.commit(body)
        if url == "/changes":
            return await self.watch(args)
        if url == "/holds":
            lease, ttl = self.next_lease, body["ttl_ms"] / 1000
            self.next_lease += 1
            self.leases[lease] = (ttl, time.monotonic() + ttl + 0.05)
            return 200, {"hold": lease}
        if url.startswith("/holds/"):
            lease = int(url.split("/")[2])
            if method == "DELETE":
                return (200, {}) if self.end_lease(lease) else (404, None)
            if lease not in self.leases:
                return 404, None
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl + 0.05)
            return 200, {"hold": lease}
        return 400, None

    def list_keys(self, args):
        under, after = args["under"], args.get("after", "")
        most = min(int(args["most"]), 1000)
        names = sorted(key for key in self.keys if key.startswith(under) and key > after)
        entries, size = [], 0
        for key in names[:most]:
            entry = {"path": key, "data": self.keys[key][0], "stamp": self.keys[key][1]}
            size += len(json.dumps(entry))
            if entries and size > 500 * 1024:
                break
            entries.append(entry)
        return 200, {"entries": entries, "more": len(entries) < len(names),
                     "ledger_rev": self.revision}

    async def commit(self, body):
        when, then = body.get("when") or [], body.get("then") or []
        if (len(then) > self.txn_ops or len(when) > 4 * self.txn_ops
                or len(json.dumps(body)) > 64 * 1024
                or any("put" in c and len(json.dumps(c["data"], separators=(",", ":"),
                       ensure_ascii=False).encode()) > self.value_bytes for c in then)):
            return 400, {"error": "too large"}
        if not self.writes.take(len(then)):
            return 429, None
        if any(c.get("hold") and c["hold"] not in self.leases for c in then):
            return 400, {"error": "no such lease"}
        failed = [c["path"] for c in when
                  if c["stamp"] != (self.keys[c["path"]][1] if c["path"] in self.keys else 0)]
        if failed:
            return 409, {"failed": failed, "ledger_rev": self.revision}
        if then:
            self.apply(then)
            self.record("state: commit " + " ".join(
                ("put " + c["put"]) if "put" in c else ("remove " + c["remove"]) for c in then))
        revision = self.revision
        if self.on_commit:
            answer = self.on_commit(then)
            if answer == "drop":
                return None
        return 200, {"ledger_rev": revision}

    async def watch(self, args):
        under, after = args["under"], int(args["after"])
        ends = time.monotonic() + min(int(args.get("hold_ms", 0)), 60000) / 1000
        while True:
            if not self.outage:
                if len(self.log) == self.log.maxlen and self.log[0]["stamp"] > after + 1:
                    return 410, None
                found = [c for c in self.log
                         if c["stamp"] > after and c.get("put", c.get("remove")).startswith(under)]
                left = ends - time.monotonic()
                if found or left <= 0:
                    return 200, {"ledger_rev": self.revision, "log": found}
            else:
                left = 0.2
            try:
                await asyncio.wait_for(self.changed.wait(), max(0.01, left))
            except asyncio.TimeoutError:
                pass


class Cloud:
    """The cloud: machine types, rentals with a capacity, and a machine list that lags."""

    def __init__(self, env, types, capacity, rps, list_lag_s, boot_s):
        self.env, self.types, self.capacity = env, types, dict(capacity)
        self.requests = Bucket(rps, 2.0)
        self.list_lag_s, self.boot_s = list_lag_s, boot_s
        self.machines = {}
        self.hires = {}
        self.closed = False

    async def start(self):
        self.server, self.port = await http1.serve(self.handle)

    def running(self):
        return [m for m in self.machines.values() if m["gone"] is None]

    async def handle(self, method, path, body):
        if not self.requests.take():
            return 429, None
        await asyncio.sleep(0.02)
        url, _, query = path.partition("?")
        args = dict(part.partition("=")[::2] for part in query.split("&")) if query else {}
        if url == "/catalog":
            return 200, {"builds": self.types}
        if url == "/rentals" and method == "POST":
            return self.rent(body)
        if url == "/rentals/return":
            for name in body["hosts"]:
                self.end(name, "returned")
            return 200, {}
        if url == "/rentals":
            return self.list(args)
        return 400, None

    def end(self, name, why):
        machine = self.machines.get(name)
        if machine and machine["gone"] is None:
            self.env.record(f"cloud: {name} {why}")
            machine["gone"] = time.monotonic()
            if machine["worker"]:
                machine["worker"].stop()

    def rent(self, body):
        if body["hire"] in self.hires:
            return 200, {"hosts": self.hires[body["hire"]]}
        kind = (body["build"], body["site"], body["loaners"])
        used = sum(1 for m in self.running() if m["kind"] == kind)
        free = 0 if self.closed else max(0, self.capacity.get(kind, 0) - used)
        count = min(body["count"], 50, free)
        self.env.record(f"cloud: rental {body['hire']} of {body['count']} x {kind}: {count}")
        if count == 0:
            return 503, {"error": "no capacity"}
        names = []
        for _ in range(count):
            name = f"vm-{len(self.machines) + 1:06d}"
            self.machines[name] = {"kind": kind, "rented": time.monotonic(), "gone": None,
                                   "up": None, "worker": None}
            asyncio.create_task(self.boot(name))
            names.append(name)
        self.hires[body["hire"]] = names
        return 200, {"hosts": names}

    async def boot(self, name):
        await asyncio.sleep(self.boot_s)
        machine = self.machines[name]
        if machine["gone"] is None:
            build = next(t for t in self.types if t["name"] == machine["kind"][0])
            worker = Worker(self.env, name, build, machine["kind"][1], machine["kind"][2])
            machine["worker"], machine["up"] = worker, time.monotonic()
            await worker.start()

    def list(self, args):
        at = time.monotonic() - self.list_lag_s
        after, most = args.get("after", ""), min(int(args["most"]), 500)
        hosts = []
        for name, m in sorted(self.machines.items()):
            if name <= after or m["rented"] > at or (m["gone"] is not None and m["gone"] <= at):
                continue
            up = m["up"] is not None and m["up"] <= at
            hosts.append({"uid": name, "address": m["worker"].address if up else None,
                          "build": m["kind"][0], "site": m["kind"][1], "loaners": m["kind"][2],
                          "standing": "running" if up else "booting",
                          "age_s": float(at - m["rented"])})
        return 200, {"hosts": hosts[:most], "more": len(hosts) > most}


class Worker:
    """The worker of one machine: reports, its lease, and the tasks on the machine."""

    def __init__(self, env, name, build, site, loaners):
        self.env, self.name, self.build, self.site, self.loaners = env, name, build, site, loaners
        self.tenure, self.tally, self.warrant = 1, 0, 0
        self.tasks = {}
        self.images = set()
        self.alive = True
        self.lease_from = time.monotonic()
        self.last_sent = 0.0
        self.change = asyncio.Event()
        self.token_change_at = -1e9
        self.node = random.randrange(len(env.nodes))
        self.connections = {}

    async def start(self):
        self.server, port = await http1.serve(self.handle)
        self.address = f"127.0.0.1:{port}"
        self.env.record(f"{self.name}: up, {self.build['name']} in {self.site}")
        asyncio.create_task(self.report_loop())
        asyncio.create_task(self.lease_loop())

    def stop(self):
        self.alive = False
        self.drop_tasks("machine gone")
        self.server.close()
        for connection in self.connections.values():
            connection.close()

    def drop_tasks(self, why):
        for (piece, attempt), task in self.tasks.items():
            if task["timer"]:
                task["timer"].cancel()
            if task["standing"] in ("running", "pulling"):
                self.env.task_off(self, piece, attempt, why)
        self.tasks.clear()

    def used(self, field):
        return sum(self.env.jobs[p.split("/")[0]][field] for (p, _), t in self.tasks.items()
                   if t["standing"] != "exited")

    def report(self):
        self.tally += 1
        pieces = []
        for (piece, attempt), task in self.tasks.items():
            item = {"piece": piece, "try": attempt, "standing": task["standing"]}
            if task["cause"]:
                item["cause"] = task["cause"]
            pieces.append(item)
        return {"host": self.name, "address": self.address, "build": self.build["name"],
                "site": self.site, "loaners": self.loaners, "tenure": self.tenure,
                "tally": self.tally, "warrant": self.warrant, "recall_s": None, "pieces": pieces}

    def see_token(self, warrant):
        if warrant > self.warrant:
            self.warrant = warrant
            now = time.monotonic()
            if now - self.token_change_at > self.env.lease_s / 2:
                self.token_change_at = now
                self.change.set()

    async def handle(self, method, path, body):
        if not self.alive:
            return None
        if path == "/status":
            return 200, self.report()
        if path != "/do" or body is None or "warrant" not in body or "tenure" not in body:
            return 400, None
        if body["warrant"] < self.warrant or body["tenure"] != self.tenure:
            return 409, self.report()
        self.see_token(body["warrant"])
        self.execute(body["orders"], "direct")
        return 200, self.report()

    async def lease_loop(self):
        while self.alive:
            await asyncio.sleep(0.05)
            if time.monotonic() - self.lease_from > self.env.lease_s:
                self.env.record(f"{self.name}: lease over, tenure {self.tenure} ends")
                self.drop_tasks("lease over")
                self.tenure += 1
                self.lease_from = time.monotonic()
                self.change.set()

    async def report_loop(self):
        while self.alive:
            pause = self.env.report_s * random.uniform(0.75, 1.25)
            try:
                await asyncio.wait_for(self.change.wait(), pause)
            except asyncio.TimeoutError:
                pass
            await asyncio.sleep(max(0.0, self.last_sent + 0.5 - time.monotonic()))
            self.change.clear()
            while self.alive and not await self.send_report():
                pass

    async def send_report(self):
        """Sends one report; returns False if it has to be sent to another node."""
        sent = self.last_sent = time.monotonic()
        tenure = self.tenure
        address = self.env.nodes[self.node].client
        connection = self.connections.setdefault(self.node, http1.Connection(address))
        status, body = await connection.request("POST", "/hello", self.report(), 4.0)
        if not self.alive:
            return True
        if status == 200:
            if body.get("warrant", -1) < self.warrant or tenure != self.tenure:
                return True
            self.lease_from = max(self.lease_from, sent)
            self.see_token(body["warrant"])
            self.execute(body["orders"], "answer")
            return True
        names = [node.name for node in self.env.nodes]
        steward = (body or {}).get("steward") if status == 421 else None
        if steward in names and names.index(steward) != self.node:
            connection.close()
            self.node = names.index(steward)
            await asyncio.sleep(random.uniform(0.0, 0.5))
        else:
            await asyncio.sleep(1.0)
            self.node = (self.node + 1) % len(names)
        return False

    def execute(self, orders, way):
        for order in orders:
            piece, attempt = order["piece"], order["try"]
            task = self.tasks.get((piece, attempt))
            if order["verb"] == "start" and task is None:
                self.begin(piece, attempt, way)
            elif order["verb"] == "halt" and task and task["standing"] != "exited":
                self.exit(piece, attempt, "stopped")
            elif order["verb"] == "clear" and task and task["standing"] == "exited":
                del self.tasks[(piece, attempt)]

    def begin(self, piece, attempt, way):
        job = self.env.jobs.get(piece.split("/")[0])
        self.env.record(f"{self.name}: start of {piece} try {attempt} ({way})")
        cause = None
        if job is None:
            cause = "no_such"
        elif any(p == piece and t["standing"] != "exited" for (p, _), t in self.tasks.items()):
            cause = "in_use"
        elif (self.used("cpus") + job["cpus"] > self.build["cpus"] + 1e-9
              or self.used("memory_gb") + job["memory_gb"] > self.build["memory_gb"] + 1e-9):
            cause = "full"
        task = {"standing": "exited" if cause else "pulling", "cause": cause, "timer": None}
        self.tasks[(piece, attempt)] = task
        if not cause:
            wait = 0.0 if job["bundle"] in self.images else job["pull_gb"] / self.build[
                "fetch_gb_per_s"]
            task["timer"] = asyncio.get_running_loop().call_later(
                wait, self.fetched, piece, attempt)
        self.change.set()

    def fetched(self, piece, attempt):
        task, job = self.tasks[(piece, attempt)], self.env.jobs[piece.split("/")[0]]
        self.images.add(job["bundle"])
        task["standing"] = "running"
        self.env.task_on(self, piece, attempt)
        self.change.set()
        how = self.env.behaviour.get(piece.split("/")[0], {})
        task["timer"] = None
        if "error_after_s" in how:
            task["timer"] = asyncio.get_running_loop().call_later(
                how["error_after_s"], self.exit, piece, attempt, "error")
        elif job["shape"] != "service":
            task["timer"] = asyncio.get_running_loop().call_later(
                how.get("run_s", job["expected_s"]), self.exit, piece, attempt, "done")

    def exit(self, piece, attempt, cause):
        task = self.tasks.get((piece, attempt))
        if task is None or task["standing"] == "exited":
            return
        if task["timer"]:
            task["timer"].cancel()
            task["timer"] = None
        task["standing"], task["cause"] = "exited", cause
        self.env.task_off(self, piece, attempt, cause)
        self.change.set()


class Link:
    """A TCP connection path of a controller; it can be cut, so that everything hangs."""

    def __init__(self, target):
        self.target = target
        self.cut = False
        self.restored = asyncio.Event()
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.connection, "127.0.0.1", 0, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    async def passing(self):
        while self.cut:
            await self.restored.wait()

    async def connection(self, reader, writer):
        self.writers.add(writer)
        await self.passing()
        try:
            other_reader, other_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.close()
            return
        self.writers.add(other_writer)

        async def pipe(source, sink):
            try:
                while True:
                    data = await source.read(65536)
                    await self.passing()
                    if not data:
                        break
                    sink.write(data)
                    await sink.drain()
            except (ConnectionError, OSError):
                pass
            finally:
                sink.close()

        await asyncio.gather(pipe(reader, other_writer), pipe(other_reader, writer))
        self.writers -= {writer, other_writer}

    def set_cut(self, cut):
        self.cut = cut
        if cut:
            self.restored = asyncio.Event()
        else:
            self.restored.set()


class LoadBalancer:
    """The users' load balancer, as PROTOCOL describes it under "Users -> controller nodes"."""

    class Backend:
        def __init__(self, node):
            self.node, self.healthy, self.ever = node, False, False
            self.last = collections.deque(maxlen=6)
            self.changed_at = 0.0
            self.writers = set()
            self.reset_done = True

    def __init__(self, env):
        self.env = env
        self.backends = [self.Backend(node) for node in env.nodes]

    async def start(self):
        self.server = await asyncio.start_server(self.connection, "127.0.0.1", 0, backlog=512)
        self.address = ("127.0.0.1", self.server.sockets[0].getsockname()[1])
        for backend in self.backends:
            asyncio.create_task(self.probe(backend))

    async def probe(self, backend):
        while True:
            connection = http1.Connection(backend.node.client)
            status, _ = await connection.request("GET", "/ready", None, 1.0)
            connection.close()
            self.judge(backend, status == 200)
            await asyncio.sleep(1.0)

    def judge(self, backend, good):
        """Judges a node by its latest probes, those since its state last changed."""
        backend.last.append(good)
        last, now = list(backend.last), time.monotonic()
        if backend.healthy:
            if last[-2:] == [False, False] or last.count(False) >= 3:
                self.change(backend, False)
        elif good and (not backend.ever
                       or last[-2:] == [True, True] and now - backend.changed_at >= 3):
            self.change(backend, True)
        if not backend.healthy and not backend.reset_done and now - backend.changed_at >= 5:
            backend.reset_done = True
            for writer in list(backend.writers):
                writer.transport.abort()

    def change(self, backend, healthy):
        backend.healthy, backend.changed_at = healthy, time.monotonic()
        backend.ever = backend.ever or healthy
        backend.reset_done = healthy
        # Probes from before the change say nothing about a node that has just started.
        backend.last.clear()
        self.env.record(
            f"load balancer: {backend.node.name} {'healthy' if healthy else 'unhealthy'}")

    async def connection(self, reader, writer):
        order = sorted((b for b in self.backends if b.healthy), key=lambda b: len(b.writers))
        for backend in order[:3]:
            try:
                other = await asyncio.wait_for(
                    asyncio.open_connection(*backend.node.client), 0.5)
            except (OSError, asyncio.TimeoutError):
                continue
            self.env.on_user_connection(writer.get_extra_info("peername")[1], backend.node)
            backend.writers.add(writer)
            await asyncio.gather(self.pipe(reader, other[1]), self.pipe(other[0], writer))
            backend.writers.discard(writer)
            return
        writer.close()

    @staticmethod
    async def pipe(source, sink):
        try:
            while True:
                data = await source.read(65536)
                if not data:
                    break
                sink.write(data)
                await sink.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            sink.close()


def free_ports(count):
    """Returns free ports below those that the system gives to outgoing connections."""
    ports = []
    while len(ports) < count:
        port = random.randrange(15000, 30000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


class Node:
    """A controller: a process started with the run line of the deploy file."""

    def __init__(self, env, index, zone):
        self.env, self.name, self.zone = env, f"sentry-{index}", zone
        self.process = None

    def start(self):
        with open(os.path.join(ROOT, "deploy", "service.toml"), "rb") as file:
            line = tomllib.load(file)["run"].split()
        log = open(os.path.join(self.env.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            line + [self.config], cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
            env={**os.environ, "LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")})
        log.close()
        self.env.record(f"{self.name}: started")

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


TELLER_BOX = {"name": "teller-box", "cpus": 8.0, "cards": 0, "memory_gb": 32.0, "cache_gb": 80.0,
              "fetch_gb_per_s": 0.5, "price": 0.34, "spot_price": 0.09, "ready_s": 20.0,
              "sites": ["durban-rack", "gqeberha-hall", "soweto-room"]}

ZONES = ["soweto-room", "durban-rack", "gqeberha-hall"]


class Failed(Exception):
    """The case could not run."""


class Env:
    """Everything of one run."""

    report_s, lease_s, cancel_s = 2.5, 16.0, 36.0

    def __init__(self, case_folder, capacity, boot_s=1.5, types=None):
        self.record = Record(os.path.join(case_folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="dewreach-review-")
        self.jobs = {}
        self.behaviour = {}
        self.on_machine = {}
        self.starts = []
        self.types = types or [TELLER_BOX]
        self.nodes = [Node(self, i, zone) for i, zone in enumerate(ZONES)]
        self.state = StateService(self.record, 200.0, 50.0, 8.0, 24)
        self.cloud = Cloud(self, self.types, capacity, 2.0, 8.0, boot_s)
        self.user_nodes = {}

    def on_user_connection(self, port, node):
        self.user_nodes[port] = node

    def task_on(self, worker, piece, attempt):
        self.record(f"{worker.name}: {piece} try {attempt} runs")
        others = self.on_machine.setdefault(piece, set())
        self.starts.append((self.record.now(), piece, worker.name))
        others.add((worker.name, attempt))

    def task_off(self, worker, piece, attempt, why):
        self.record(f"{worker.name}: {piece} try {attempt} off: {why}")
        self.on_machine.setdefault(piece, set()).discard((worker.name, attempt))

    def runs(self, piece):
        return bool(self.on_machine.get(piece))

    async def start(self):
        await self.state.start()
        await self.cloud.start()
        ports = free_ports(6)
        for i, node in enumerate(self.nodes):
            node.client = ("127.0.0.1", ports[2 * i])
            node.internal_port = ports[2 * i + 1]
            node.state_link = Link(self.state.port)
            await node.state_link.start()
        for node in self.nodes:
            node.peer_links = {}
            for other in self.nodes:
                if other is not node:
                    node.peer_links[other.name] = Link(other.internal_port)
                    await node.peer_links[other.name].start()
        for node in self.nodes:
            node.config = os.path.join(self.folder, node.name + ".toml")
            with open(node.config, "w") as file:
                file.write(self.settings(node))
            node.start()
        self.balancer = LoadBalancer(self)
        await self.balancer.start()

    def settings(self, node):
        lines = [
            f'host_name = "{node.name}"', f'location = "{node.zone}"',
            f'client_listen = "127.0.0.1:{node.client[1]}"',
            f'internal_addr = "127.0.0.1:{node.internal_port}"']
        for other in self.nodes:
            if other is not node:
                lines += ["[[members]]", f'host_name = "{other.name}"',
                          f'location = "{other.zone}"',
                          f'address = "127.0.0.1:{node.peer_links[other.name].port}"']
        lines += ["[external]", f'cloud = "127.0.0.1:{self.cloud.port}"',
                  f'state = "127.0.0.1:{node.state_link.port}"', "[cluster]", "nodes = 3",
                  'zones = ["durban-rack", "gqeberha-hall", "soweto-room"]',
                  "time_bound_ms = 250.0"]
        for name, cpus, most in (("credit-desk", 88.0, 320.0), ("collections", 40.0, 112.0),
                                 ("member-desk", 56.0, 88.0)):
            lines += ["[[cluster.teams]]", f'name = "{name}"', f"cpus = {cpus}",
                      f"cpus_max = {most}", "gpus = 0.0", "gpus_max = 0.0"]
        for text in ('kind = "wait"\nclass = "ledger-live"\nwithin_s = 5.0\nshare = 0.85',
                     'kind = "deadline"\nclass = "repayment-sweep"\nshare = 0.88\ntimes = 1.0',
                     'kind = "finished"\nclass = "arrears-scan"\nwithin_s = 150.0\nshare = 0.98',
                     'kind = "guarantee"\nwithin_s = 5.0\nshare = 0.82'):
            lines += ["[[cluster.objectives]]", text]
        lines += ["[cluster.workers]", f"report_s = {self.report_s}", f"lease_s = {self.lease_s}",
                  "gang_wait_s = 45.0", "gang_peer_s = 5.0", f"cancel_s = {self.cancel_s}",
                  "[cluster.state]", "rps = 200.0", "write_rps = 50.0", "value_kb = 8.0",
                  "txn_ops = 24", "[cluster.cloud]", "rps = 2.0", "list_lag_s = 8.0",
                  "[cluster.machine_limits]", "cpu_share = 0.51", "ram_mb = 205.0",
                  "max_connections = 1800"]
        return "\n".join(lines) + "\n"

    def leader(self):
        entry = self.state.keys.get("dw/leader")
        name = entry[0]["name"] if entry else None
        return next((node for node in self.nodes if node.name == name), None)

    def cut_from_peers_and_state(self, node):
        """Cuts a node from the state service and the other nodes, not from workers and users."""
        node.state_link.set_cut(True)
        for link in node.peer_links.values():
            link.set_cut(True)
        for other in self.nodes:
            if other is not node:
                other.peer_links[node.name].set_cut(True)

    async def wait_for(self, what, test, seconds):
        ends = time.monotonic() + seconds
        while not test():
            if time.monotonic() > ends:
                raise Failed(f"not reached within {seconds} s: {what}")
            await asyncio.sleep(0.02)

    def user(self):
        return User(self)

    def close(self):
        for node in self.nodes:
            node.kill()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def job(uid, lane, desk, shape, urgency, pieces, cpus, memory_gb, expected_s, **more):
    """Returns the body of a submission."""
    body = {"uid": uid, "lane": lane, "desk": desk, "shape": shape, "urgency": urgency,
            "pieces": pieces, "cpus": float(cpus), "cards": 0.0, "memory_gb": float(memory_gb),
            "bundle": "img-01", "pull_gb": 0.1, "builds": None, "site": None, "together": False,
            "scatter": False, "loaners": False, "expected_s": float(expected_s),
            "mark_every_s": 0.0, "mark_cost_s": 0.0, "due_s": None}
    body.update(more)
    return body


class User:
    """A user: one connection to the load balancer, which stays open."""

    def __init__(self, env):
        self.env = env
        self.connection = http1.Connection(env.balancer.address)

    def node(self):
        if self.connection.streams is None:
            return None
        port = self.connection.streams[1].get_extra_info("sockname")[1]
        return self.env.user_nodes.get(port)

    async def call(self, method, path, body=None, timeout=5.0):
        status, data = await self.connection.request(method, path, body, timeout)
        node = self.node()
        self.env.record(f"user: {method} {path} {body['uid'] if body else ''}"
                        f" [{node.name if node else '-'}] -> {status} {data}")
        return status, data

    async def repeat(self, method, path, body, good):
        ends = time.monotonic() + 60
        while time.monotonic() < ends:
            status, data = await self.call(method, path, body)
            if status in good:
                return status, data
            if status in (400, 404, 422):
                raise Failed(f"{path}: {status}")
            await asyncio.sleep(1.0)
        raise Failed(f"{path}: not answered for 60 s")

    async def submit(self, body):
        self.env.jobs[body["uid"]] = body
        return await self.repeat("POST", "/work", body, (200, 201))

    async def abort(self, uid):
        return await self.repeat("POST", f"/work/{uid}/abort", None, (200,))

    async def poll(self, uid):
        return await self.call("GET", f"/work/{uid}", None, 2.0)

    def keep_polling(self, uid):
        """Asks about the job every 5 s from now on."""

        async def loop():
            while True:
                await self.poll(uid)
                await asyncio.sleep(5.0)

        return asyncio.create_task(loop())


def main(case_folder, case, **settings):
    """Runs a case: an async function of the environment that returns True if the rule held."""

    async def run():
        env = Env(case_folder, **settings)
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(
                number, asyncio.current_task().cancel)
        try:
            await env.start()
            held = await asyncio.wait_for(case(env), 116)
            env.record("the rule held" if held else "THE RULE WAS BROKEN")
            code = 0 if held else 1
        except (Failed, asyncio.TimeoutError, asyncio.CancelledError, OSError) as error:
            env.record(f"the case could not run: {error!r}")
            code = 2
        finally:
            for node in env.nodes:
                if node.process and node.process.poll() is not None:
                    env.record(f"{node.name} had ended with {node.process.returncode}")
            env.close()
        print(["the rule held", "the rule was broken", "the case could not run"][code], flush=True)
        # Without a tidy end of the event loop, whose open connections would fill the output.
        os._exit(code)

    try:
        asyncio.run(run())
    except BaseException as error:  # a fault of the test itself is no result
        print(f"the case could not run: {error!r}", flush=True)
        os._exit(2)
