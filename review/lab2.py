"""A small deployment on loopback addresses for the scripts in review/6 to review/10.

It fills the settings as deploy/front.json and deploy/journal.json do for the site
choclo-carts, starts the programs with the commands of deploy/system.toml, and stands
in for clients, replicas and the platform. It ends all processes that it started."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "platform" / "soak"))

import http11  # noqa: E402
from ports import free_port  # noqa: E402
from store import Store  # noqa: E402

HOST = "h.example"
SYSTEM = tomllib.loads((ROOT / "deploy/system.toml").read_text())
# Pause of the platform before it starts a process that has ended.
RESTART_S = 0.3


class CannotRun(Exception):
    """The case could not run; says nothing about the rule."""


class Record:
    """What was sent, answered and run, written to record.txt of a case."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(folder / "record.txt", "w", encoding="utf-8")

    def write(self, text):
        line = f"{time.monotonic() - self.began:8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()
        print(line, flush=True)


def quiet(serve):
    """A stand-in's connections end with the case."""
    async def run(reader, writer):
        with contextlib.suppress(asyncio.CancelledError):
            await serve(reader, writer)
    return run


def route(name, kind, service, **more):
    base = {"name": name, "host": HOST, "prefix": f"/{name}/", "kind": kind,
            "timeout_ms": 6000, "target_latency_ms": 300, "priority": 0,
            "service": service, "max_attempts": 2, "resumable": False}
    return base | more


def configuration(version, routes, **more):
    return {"version": version, "routes": routes,
            "services": [
                {"name": "models", "health_path": "/health", "max_conns": 490,
                 "protocol": "h1", "tls": False,
                 "engine": {"slots": 96, "kv_capacity_tokens": 213037,
                            "event_tokens": 2, "models": [{"name": "m"}]}},
                {"name": "tools", "health_path": "/health", "max_conns": 100,
                 "protocol": "h1", "tls": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            } | more


class Process:
    """A program of the deploy file on one machine, kept running by the platform."""

    def __init__(self, lab, kind, number, memory_mb):
        self.lab = lab
        self.kind = kind
        self.name = f"{kind}-{number}"
        self.memory_mb = memory_mb
        self.ports = {key: lab.unused_port() for key in
                      ("callers", "ready", "metrics", "relay", "journal", "seed")}
        self.folder = lab.folder / self.name
        self.folder.mkdir()
        self.log = lab.folder / f"{self.name}.log"
        self.child = None
        self.is_down = False
        self.keeper = None
        self.peak_kb = 0
        self.ends = []
        self.store_port = lab.store_port
        # Addresses that other processes use instead of those it listens on.
        self.advertised = None

    def address(self, key):
        return f"127.0.0.1:{self.ports[key]}"

    def settings(self):
        common = {"vm": self.name, "failure_domain": "z1", "region": "r1",
                  "store": {"address": f"127.0.0.1:{self.store_port}"},
                  "changes": {"in_force_ms": 2500, "drained_ms": 2500},
                  "memory": {"limit_mb": self.memory_mb},
                  "tolerate": {"disks": 1}} | self.lab.extra_settings
        if self.kind == "journal":
            listen = {key: self.address(key) for key in
                      ("seed", "journal", "metrics")}
            if self.advertised:
                listen["advertised"] = self.advertised
            return common | {"listen": listen,
                             "data": {"folder": str(self.folder / "data")}}
        return common | {
            "failure_domains": ["z1=r1"],
            "listen": {key: self.address(key) for key in
                       ("callers", "ready", "metrics", "relay")},
            "deployment": {"contracts": self.lab.contracts},
            "journals": {"seeds": [j.address("seed") for j in self.lab.journals]},
            "stop": {"grace_s": 8}}

    async def start(self):
        path = self.folder / "settings.json"
        path.write_text(json.dumps(self.settings()))
        words = SYSTEM["roles"][self.kind]["run"].split()
        words[words.index("--settings") + 1] = str(path)
        with open(self.log, "ab") as log:
            self.child = await asyncio.create_subprocess_exec(
                str(ROOT / words[0]), *words[1:], cwd=ROOT, stdout=log, stderr=log,
                env={"PATH": os.environ.get("PATH", ""),
                     "DAISYWIND_SETTINGS": str(path)})
        if self.keeper is None:
            self.keeper = asyncio.create_task(self.keep())

    def rss_kb(self):
        """Anonymous memory of the process, without files that it shares."""
        with contextlib.suppress(OSError):
            text = pathlib.Path(f"/proc/{self.child.pid}/status").read_text()
            for line in text.splitlines():
                if line.startswith("RssAnon:"):
                    return int(line.split()[1])
        return 0

    async def keep(self):
        """What the platform does: ends a process over its memory limit, and starts
        one that has ended again after a short pause."""
        while True:
            await asyncio.sleep(0.05)
            if self.is_down:
                continue
            if self.child.returncode is not None:
                self.ends.append(self.child.returncode)
                self.lab.record.write(
                    f"platform: {self.name} has ended, status "
                    f"{self.child.returncode}; it starts again")
                await asyncio.sleep(RESTART_S)
                await self.start()
                continue
            kb = self.rss_kb()
            self.peak_kb = max(self.peak_kb, kb)
            if kb > self.memory_mb * 1024:
                self.lab.record.write(
                    f"platform: {self.name} uses {kb // 1024} MB of "
                    f"{self.memory_mb} MB and is killed")
                self.child.kill()
                await self.child.wait()

    def signal(self, number):
        if self.child is not None and self.child.returncode is None:
            self.child.send_signal(number)

    async def stop(self):
        if self.keeper is not None:
            self.keeper.cancel()
        if self.child is not None and self.child.returncode is None:
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
            await self.child.wait()


class Replica:
    """A sound replica: runs each request that names it, echoes its id and seals its
    answer. `on_request` may answer in another way: it returns True if it has, and
    False to close the connection."""

    def __init__(self, lab, name, service, is_engine):
        self.lab = lab
        self.name = name
        self.service = service
        self.is_engine = is_engine
        self.runs = []
        self.bodies = {}
        self.on_request = None
        self.events = 3
        self.event_gap_s = 0.005
        self.port = 0
        self.state = "ready"

    async def start(self):
        server = await asyncio.start_server(quiet(self.serve), "127.0.0.1", 0,
                                            limit=1 << 20, backlog=512)
        self.server = server
        self.port = server.sockets[0].getsockname()[1]
        await self.announce()

    async def announce(self):
        await self.lab.store.put("servers/" + self.name, json.dumps(
            {"service": self.service, "address": f"127.0.0.1:{self.port}",
             "zone": "z1", "version": "v1", "slots": 96 if self.is_engine else 6,
             "state": self.state, "cold_left_ms": 0, "seq": 1, "born": 1}))

    async def serve(self, reader, writer):
        try:
            while head := await http11.read_head(reader):
                body = await http11.read_body(reader, head)
                if head.first[1] == "/health":
                    writer.write(http11.message("HTTP/1.1 200 OK",
                                                {"X-Instance-Id": self.name}))
                    continue
                if head.get("x-target-instance") not in ("", self.name):
                    writer.write(http11.message("HTTP/1.1 421 X",
                                                {"X-Instance-Id": self.name}))
                    continue
                request_id = head.get("x-request-id")
                self.runs.append((time.monotonic(), request_id, head))
                self.bodies[request_id] = body
                if self.on_request is not None:
                    done = await self.on_request(self, head, body, writer)
                    if done is False:
                        break
                    if done:
                        continue
                await self.answer(request_id, head, writer)
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    def fields(self, request_id):
        return {"X-Request-Id": request_id, "X-Response-Seal": "s." + request_id,
                "X-Server-Load": "1,0,96"}

    async def answer(self, request_id, head, writer):
        if not self.is_engine:
            writer.write(http11.message("HTTP/1.1 200 OK", self.fields(request_id),
                                        b"answer " + request_id[:32].encode()))
            await writer.drain()
            return
        fields = self.fields(request_id) | {"Content-Type": "text/event-stream",
                                            "Transfer-Encoding": "chunked"}
        writer.write(http11.message("HTTP/1.1 200 OK", fields, length=False))
        for number in range(1, self.events + 1):
            writer.write(http11.chunk(
                f"id: {number}\ndata: {self.event(request_id, number)}\n\n".encode()))
            await writer.drain()
            await asyncio.sleep(self.event_gap_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    @staticmethod
    def event(request_id, number):
        return f"{request_id[:16]}.{number}"


class Answer:
    def __init__(self, status, head, body, is_complete, error=""):
        self.status = status
        self.head = head
        self.body = body
        self.is_complete = is_complete
        self.error = error

    def __str__(self):
        if self.status is None:
            return f"no answer ({self.error})"
        state = "complete" if self.is_complete else f"broken off ({self.error})"
        return f"{self.status}, {len(self.body)} bytes, {state}"


async def request(port, method, target, fields, body=b"", timeout=10.0):
    """One client attempt on a new connection."""
    writer = None
    head, got = None, b""
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", port, limit=1 << 20)
            lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}"]
            lines += [f"{name}: {value}" for name, value in fields.items()]
            if body or method != "GET":
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            head = await http11.read_head(reader)
            if head is None:
                return Answer(None, None, b"", False, "connection closed")
            if head.get("transfer-encoding") == "chunked":
                while part := await http11.read_chunk(reader):
                    got += part
            else:
                got = await reader.readexactly(int(head.get("content-length", "0")))
            return Answer(int(head.first[1]), head, got, True)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError,
            ValueError) as error:
        status = int(head.first[1]) if head else None
        return Answer(status, head, got, False, type(error).__name__)
    finally:
        if writer is not None:
            writer.close()


class Lab:
    def __init__(self, folder, seed=1):
        self.record = Record(folder)
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.rng = random.Random(seed)
        self.store = Store(self.rng)
        self.journals = []
        self.fronts = []
        self.replicas = []
        self.extra_settings = {}
        self.contracts = ["base", "drain", "config", "cost", "recover", "agent",
                          "stream", "engine", "platform"]
        self.last_id = 0
        self.used_ports = set()

    def unused_port(self):
        """A free port that no other process of the deployment is to use."""
        port = free_port()
        while port in self.used_ports:
            port = free_port()
        self.used_ports.add(port)
        return port

    def next_id(self):
        self.last_id += 1
        return f"{self.last_id:06x}{self.rng.getrandbits(40):010x}"

    async def set_up(self, routes, fronts=1, journals=3, engines=2, tools=1,
                     front_mb=110, journal_mb=130, **config):
        server = await asyncio.start_server(quiet(self.store.serve), "127.0.0.1", 0)
        self.store_port = server.sockets[0].getsockname()[1]
        for number in range(engines):
            self.replicas.append(Replica(self, f"i-m{number}", "models", True))
        for number in range(tools):
            self.replicas.append(Replica(self, f"i-t{number}", "tools", False))
        for replica in self.replicas:
            await replica.start()
        await self.store.put("op/config",
                             json.dumps(configuration(7, routes, **config)))
        self.journals = [Process(self, "journal", n, journal_mb)
                         for n in range(journals)]
        self.fronts = [Process(self, "front", n, front_mb) for n in range(fronts)]

    async def start(self):
        for process in self.journals + self.fronts:
            await process.start()
        await asyncio.gather(*(self.wait_ready(front) for front in self.fronts))

    async def wait_ready(self, front, limit_s=20.0):
        until = time.monotonic() + limit_s
        while not await self.is_ready(front):
            if time.monotonic() > until:
                raise CannotRun(f"{front.name} was not ready in {limit_s} s")
            await asyncio.sleep(0.1)

    async def is_ready(self, front):
        answer = await request(front.ports["ready"], "GET", "/api/ready", {},
                               timeout=1.0)
        return answer.status == 200

    async def stop(self):
        await asyncio.gather(*(p.stop() for p in self.fronts + self.journals),
                             return_exceptions=True)
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def turn_fields(lab, program, parent="", session="s"):
    """The head of a turn of an agent program."""
    fields = {"X-Request-Id": lab.next_id(), "X-Program-Id": program,
              "X-Session-Id": session, "X-Program-Deadline-Ms": "30000",
              "X-Token-Budget": "100000", "X-Token-Count": "100,20",
              "X-Deadline-Ms": "6000"}
    return fields | ({"X-Previous-Turn": parent} if parent else {})


class Callers:
    """Ten programs a second; each also continues a turn that was answered whole."""

    def __init__(self, lab):
        self.lab = lab
        # Program, id and end of each turn that was answered whole.
        self.kept = []
        self.counts = {}

    def note(self, what, answer):
        is_served = answer.status == 200 and answer.is_complete
        result = "served" if is_served else answer.status or "no answer"
        self.counts[(what, result)] = self.counts.get((what, result), 0) + 1
        return is_served

    async def one(self, number):
        port = self.lab.fronts[number % len(self.lab.fronts)].ports["callers"]
        first = turn_fields(self.lab, f"p{number}")
        answer = await request(port, "POST", "/turns/a", first, b"hello")
        if self.note("first turns", answer):
            self.kept.append((f"p{number}", first["X-Request-Id"], time.monotonic()))
        fresh = [k for k in self.kept if time.monotonic() - k[2] < 50]
        if fresh:
            program, parent, _ = self.lab.rng.choice(fresh)
            answer = await request(port, "POST", "/turns/a",
                                   turn_fields(self.lab, program, parent), b"more")
            self.note("turns that continue a kept one", answer)

    async def run(self):
        number, tasks = 0, set()
        while True:
            number += 1
            tasks.add(asyncio.create_task(self.one(number)))
            tasks = {task for task in tasks if not task.done()}
            await asyncio.sleep(0.1)

    def take(self):
        counts, self.counts = self.counts, {}
        return counts


async def take_away(process):
    """The machine is gone for good, with its disk."""
    process.keeper.cancel()
    if process.child.returncode is None:
        process.child.kill()
        await process.child.wait()
    shutil.rmtree(process.folder / "data", ignore_errors=True)


async def retire(lab, process, duration_s):
    """The operator has a store machine emptied, and takes it away then."""
    await lab.store.put("op/retire/" + process.name,
                        json.dumps({"duration_s": duration_s}))
    until = time.monotonic() + 3 * duration_s
    while "done" not in lab.store.value("status/retire/" + process.name):
        if time.monotonic() > until:
            raise CannotRun(f"{process.name} was not emptied")
        await asyncio.sleep(0.1)
    await take_away(process)
    await lab.store.remove("op/retire/" + process.name)


def view_of(lab):
    """The only key of the system itself."""
    return next(lab.store.value(key) for key in lab.store.items
                if not key.startswith(("op/", "servers/", "status/")))


def main(case, play, limit_s=110.0):
    """Plays a case. `play` gets the lab and returns whether the rule was broken."""

    async def run():
        lab = Lab(pathlib.Path(case).resolve().parent)
        try:
            async with asyncio.timeout(limit_s):
                return 1 if await play(lab) else 0
        except (CannotRun, asyncio.TimeoutError, OSError) as error:
            lab.record.write(f"could not run: {type(error).__name__}: {error}")
            return 2
        finally:
            await lab.stop()

    status = 2
    try:
        status = asyncio.run(run())
    finally:
        print({0: "the rule held", 1: "THE RULE WAS BROKEN",
               2: "the case could not run"}[status])
    sys.exit(status)
