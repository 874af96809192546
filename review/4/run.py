"""All replicas of one zone are taken away at once; they never report that they are
draining. The configuration changes just before.

Exits with 1 if requests reach a replica later than drain_ms after the store has
acknowledged that its entry is gone, 0 if none do, and 2 if the case could not run."""

import asyncio
import os
import pathlib
import sys
import traceback

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from lab import Lab, http11, request  # noqa: E402

DRAIN_S = 2.5
# A replica goes on serving for DRAIN_S and this, then it exits.
LONGER_S = 0.3
WORK_S = 0.1
REQUESTS_PER_S = 180
# Time from the change of the configuration to the removal of the entries.
CHANGE_LEAD_S = 0.05
# The replicas of inzira-rota by zone: planner-llm and rota-app.
MODELS = {"z1": 3, "z2": 3, "z3": 3}
TOOLS = {"z1": 3, "z2": 2, "z3": 2}
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Server:
    """A sound plain server."""

    def __init__(self, lab, name, zone):
        self.lab = lab
        self.name = name
        self.zone = zone
        self.address = ""
        self.gone_at = None
        self.late = []
        self.cut = []
        self.writers = set()
        self.running = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % (
            self.server.sockets[0].getsockname()[1])

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while head := await http11.read_head(reader):
                await http11.read_body(reader, head)
                name = head.get("x-request-id")
                now = self.lab.now()
                if self.gone_at and now > self.gone_at + DRAIN_S:
                    self.late.append(name)
                    self.lab.note(
                        f"server {self.name} gets {name} "
                        f"{now - self.gone_at:.3f} s after its entry was gone")
                self.running.add(name)
                await asyncio.sleep(WORK_S)
                self.running.discard(name)
                writer.write(http11.message(
                    "HTTP/1.1 200 OK",
                    {"X-Request-Id": name, "X-Response-Seal": "seal." + name,
                     "X-Server-Load": f"{len(self.running)},0,6"}, b"done"))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def leave(self):
        """The entry is removed; the replica exits some time later."""
        await self.lab.store.remove("servers/" + self.name)
        self.gone_at = self.lab.now()
        self.lab.note(f"the store has removed servers/{self.name}")
        await asyncio.sleep(DRAIN_S + LONGER_S)
        self.server.close()
        self.cut = list(self.running)
        for writer in list(self.writers):
            http11.abort(writer)
        self.lab.note(f"server {self.name} exits, at work on {self.cut}")


async def put_configuration(lab):
    await lab.put_configuration(
        [{"name": "once", "prefix": "/once/", "kind": "unsafe",
          "service": "tools", "timeout_ms": 3000}],
        [{"name": "tools"}, {"name": "models"}])


async def run(lab):
    await lab.open_store()
    lab.failure_domains = ["z1=r1", "z2=r1", "z3=r2"]
    servers = []
    for service, counts in (("tools", TOOLS), ("models", MODELS)):
        for zone, count in counts.items():
            for n in range(count):
                server = Server(lab, f"{service}-{zone}-{n}", zone)
                await server.start()
                await lab.put_server(server.name, service, server.address,
                                     zone=zone)
                servers.append(server)
    await put_configuration(lab)
    await lab.start(["z1", "z2", "z3"])
    if not await lab.wait_ready():
        lab.note("the deployment did not become ready")
        return 2
    await asyncio.sleep(5)
    statuses = {}

    async def call(number):
        name = f"request{number:05d}"
        front = lab.fronts[number % len(lab.fronts)]
        answer = await request(front.port, "POST", "/once/x",
                               {"X-Request-Id": name, "X-Deadline-Ms": "3000"},
                               b"order", 4)
        statuses[name] = answer.status
        if answer.status != 200:
            lab.note(f"client gets {answer.status} for {name}")

    async def load(seconds):
        began = lab.now()
        number = len(statuses)
        tasks = []
        while lab.now() - began < seconds:
            number += 1
            tasks.append(asyncio.create_task(call(number)))
            await asyncio.sleep(1 / REQUESTS_PER_S)
        await asyncio.gather(*tasks)

    task = asyncio.create_task(load(7))
    await asyncio.sleep(2)
    await put_configuration(lab)
    lab.note(f"the store has configuration {lab.version}")
    await asyncio.sleep(CHANGE_LEAD_S)
    leaving = [s for s in servers if s.zone == "z1"] if TROUBLE else []
    await asyncio.gather(task, *(server.leave() for server in leaving))
    late = [name for server in servers for name in server.late]
    cut = [name for server in servers for name in server.cut]
    for name in late:
        lab.note(f"DRAIN: {name} was passed on too late; its client got "
                 f"{statuses.get(name)}")
    lab.note(f"{len(late)} requests reached a replica later than drain_ms after "
             f"its entry was gone; {len(cut)} were cut off; "
             f"{len(statuses)} sent")
    return 1 if late else 0


async def main():
    lab = Lab(journals=3, fronts=3)
    status = 2
    try:
        status = await run(lab)
    except Exception:
        lab.note(traceback.format_exc())
    finally:
        await lab.stop()
        lab.write_record(HERE / "record.txt")
        if os.environ.get("KEEP") != "1":
            lab.remove()
    print(lab.lines[-1])
    sys.stdout.flush()
    os._exit(status)


asyncio.run(main())
