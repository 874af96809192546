"""A small deployment on loopback addresses: the programs of the deploy file as
processes, the soak test's store, and stand-ins for clients and servers."""

import asyncio
import json
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "platform" / "soak"))

import http11  # noqa: E402
from store import Store  # noqa: E402

HOST = "h.example"
# Events in the answer to a turn, and tokens in an event.
EVENTS = 4
EVENT_TOKENS = 2


class Port:
    """A port outside the system's range for outgoing connections. It is held for
    good, so that no deployment beside this one takes it, also while its process is
    down."""

    def __init__(self):
        self.holder = None
        while self.holder is None:
            self.number = random.SystemRandom().randrange(10000, 30000)
            holder = socket.socket()
            try:
                # Without SO_REUSEADDR this fails on a port that another one holds.
                # With it, set later, the process can listen beside the holder.
                holder.bind(("127.0.0.1", self.number))
                holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                self.holder = holder
            except OSError:
                holder.close()


class Process:
    """One program of the deploy file on one machine."""

    def __init__(self, lab, kind, number, zone="z1", region="r1"):
        self.lab = lab
        self.kind = kind
        self.name = f"{kind}-{number}"
        self.zone = zone
        self.region = region
        self.ports = [Port() for _ in range(4)]
        self.port, self.ready_port, self.relay_port, self.metrics_port = (
            port.number for port in self.ports)
        self.folder = lab.folder / self.name
        self.store_address = f"127.0.0.1:{lab.store_port}"
        # Address by which other processes reach a journal.
        self.advertised = f"127.0.0.1:{self.port}"
        self.child = None

    def settings(self):
        common = {
            "vm": self.name, "failure_domain": self.zone,
            "region": self.region, "store": {"address": self.store_address},
            "changes": {"in_force_ms": 2500, "drained_ms": 2500},
            "tolerate": {"disks": self.lab.tolerated}}
        if self.kind == "journal":
            return common | {
                "listen": {"journal": f"127.0.0.1:{self.port}",
                           "advertised": self.advertised,
                           "metrics": f"127.0.0.1:{self.metrics_port}"},
                "data": {"folder": str(self.folder)},
                "memory": {"limit_mb": 130}}
        return common | {
            "failure_domains": self.lab.failure_domains,
            "listen": {"callers": f"127.0.0.1:{self.port}",
                       "ready": f"127.0.0.1:{self.ready_port}",
                       "metrics": f"127.0.0.1:{self.metrics_port}",
                       "relay": f"127.0.0.1:{self.relay_port}"},
            "journals": {"seeds": [j.advertised for j in self.lab.journals]},
            "stop": {"grace_s": 8}}

    async def start(self):
        path = self.lab.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings()))
        with open(self.lab.folder / f"{self.name}.log", "ab") as log:
            self.child = await asyncio.create_subprocess_exec(
                str(ROOT / "target" / "bin" / f"daisywind-{self.kind}"),
                "--settings", str(path), stdout=log, stderr=log)

    def send_signal(self, number):
        if self.child is not None and self.child.returncode is None:
            self.child.send_signal(number)

    async def kill(self, number=signal.SIGKILL):
        if self.child is None or self.child.returncode is not None:
            return
        self.send_signal(signal.SIGCONT)
        self.send_signal(number)
        try:
            await asyncio.wait_for(self.child.wait(), 9)
        except asyncio.TimeoutError:
            self.child.kill()
            await self.child.wait()

    async def is_ready(self):
        response = await request(self.ready_port, "GET", "/api/ready", {}, b"")
        return response.status == 200


class Response:
    def __init__(self):
        self.status = 0
        self.head = None
        self.body = b""
        self.complete = False


async def request(port, method, target, fields, body, timeout=8.0):
    """Sends one request on a new connection and reads its response."""
    response = Response()
    try:
        await asyncio.wait_for(
            exchange(port, method, target, fields, body, response), timeout)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError,
            ValueError):
        pass
    return response


async def exchange(port, method, target, fields, body, response):
    reader, writer = await asyncio.wait_for(
        asyncio.open_connection("127.0.0.1", port), 1)
    try:
        writer.write(http11.message(f"{method} {target} HTTP/1.1",
                                    {"Host": HOST} | fields, body))
        await writer.drain()
        response.head = await http11.read_head(reader)
        if response.head is None:
            return
        response.status = int(response.head.first[1])
        if response.head.get("transfer-encoding") != "chunked":
            response.body = await http11.read_body(reader, response.head)
        else:
            while part := await http11.read_chunk(reader):
                response.body += part
        response.complete = True
    finally:
        writer.close()


class Engine:
    """A model replica that answers each turn with EVENTS events."""

    def __init__(self, name, lab):
        self.name = name
        self.lab = lab
        self.address = ""
        # Body that each request ran with, by its id.
        self.ran = {}

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            while head := await http11.read_head(reader):
                body = await http11.read_body(reader, head)
                await self.answer(head, body, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, head, body, writer):
        turn = head.get("x-request-id")
        fields = {"X-Request-Id": turn, "X-Server-Load": "1,0,8"}
        if head.get("x-target-instance") not in ("", self.name):
            writer.write(http11.message("HTTP/1.1 421 X", fields))
            return
        self.ran[turn] = body
        self.lab.note(f"server {self.name} runs {turn}, {len(body)} bytes")
        fields |= {"X-Response-Seal": "seal." + turn,
                   "Content-Type": "text/event-stream",
                   "Transfer-Encoding": "chunked"}
        writer.write(http11.message("HTTP/1.1 200 OK", fields, length=False))
        for number in range(1, EVENTS + 1):
            event = f"id: {number}\ndata: {turn}-{number}\n\n".encode()
            writer.write(http11.chunk(event))
            await writer.drain()
            await asyncio.sleep(0.01)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class Lab:
    def __init__(self, journals=3, fronts=2, tolerated=1):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.tolerated = tolerated
        self.failure_domains = ["z1=r1"]
        self.store = Store(random.Random(1))
        self.store_port = 0
        self.journal_count = journals
        self.front_count = fronts
        self.journals = []
        self.fronts = []
        self.version = 1
        self.began = time.monotonic()
        self.lines = []

    def now(self):
        return time.monotonic() - self.began

    def note(self, text):
        """Adds a line to the record of the run."""
        self.lines.append(f"{self.now():8.3f} {text}")

    async def open_store(self):
        server = await asyncio.start_server(self.store.serve, "127.0.0.1", 0)
        self.store_port = server.sockets[0].getsockname()[1]

    async def put_server(self, name, service, address, state="ready", born=1,
                         zone="z1"):
        await self.store.put("servers/" + name, json.dumps(
            {"service": service, "address": address, "zone": zone,
             "version": "v1", "slots": 8, "state": state, "cold_left_ms": 0,
             "seq": 1, "born": born}))

    async def put_configuration(self, routes, services, limits=None):
        self.version += 3
        for route in routes:
            route.setdefault("host", HOST)
            route.setdefault("timeout_ms", 4000)
            route.setdefault("target_latency_ms", 300)
            route.setdefault("priority", 0)
        await self.store.put("op/config", json.dumps(
            {"version": self.version, "routes": routes, "services": services,
             "limits": limits or {"idle_timeout_ms": 15000}}))

    def make(self, zones=("z1",), regions=("r1",)):
        """Makes all processes without starting them; the zones take turns."""
        def place(kind, n):
            return Process(self, kind, n, zones[n % len(zones)],
                           regions[n % len(regions)])
        self.journals = [place("journal", n) for n in range(self.journal_count)]
        self.fronts = [place("front", n) for n in range(self.front_count)]

    async def start_all(self):
        for process in self.journals + self.fronts:
            await process.start()

    async def start(self, zones=("z1",)):
        """Starts all processes; the zones take turns."""
        self.make(zones)
        await self.start_all()

    async def wait_ready(self, seconds=10.0):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if any(p.child.returncode is not None
                   for p in self.journals + self.fronts):
                return False
            ready = [await front.is_ready() for front in self.fronts]
            # A journal that is no member of the view yet takes no part.
            view = self.store.value("daisywind/view")
            if all(ready) and all(f'"{journal.name}"' in view
                                  for journal in self.journals):
                return True
            await asyncio.sleep(0.1)
        return False

    async def stop(self):
        await asyncio.gather(*(p.kill() for p in self.journals + self.fronts))

    def write_record(self, path):
        pathlib.Path(path).write_text("\n".join(self.lines) + "\n")

    def remove(self):
        shutil.rmtree(self.folder, ignore_errors=True)
