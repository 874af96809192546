"""Two disks are lost one after the other, the second one when the first machine has
been back for longer than catch_up_s. Two journals stand in one region and one in
another; the regions have a link of 30 Mbit/s each way.

Exits with 1 if a turn is answered 404 although the turn that it names was answered
whole less than retain_s before, 0 if none is, and 2 if the case could not run."""

import asyncio
import os
import pathlib
import shutil
import sys
import traceback

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from lab import EVENT_TOKENS, EVENTS, Engine, Lab, http11, request  # noqa: E402

RETAIN_S = 60
TIMEOUT_MS = 6000
LINK_BYTES_PER_S = 30e6 / 8
DELAY_S = 0.02
PROGRAMS = 300
FIRST_TURNS = 6
INPUT_BYTES = 14_500
MAX_OPEN = 12
DOWN_S = 2.0
# Longer than catch_up_s, which is 4.4.
BETWEEN_S = 4.7
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Link:
    """The link between two regions: one budget of bytes for each direction."""

    def __init__(self):
        self.free_at = {True: 0.0, False: 0.0}
        self.bytes = {True: 0, False: 0}

    async def carry(self, is_forward, size):
        now = asyncio.get_running_loop().time()
        at = max(self.free_at[is_forward], now) + size / LINK_BYTES_PER_S
        self.free_at[is_forward] = at
        self.bytes[is_forward] += size
        await asyncio.sleep(at - now)


class Proxy:
    """Carries the connections to one process over the link."""

    def __init__(self, link, target_port):
        self.link = link
        self.target_port = target_port
        self.port = 0

    async def start(self):
        server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def accept(self, reader, writer):
        try:
            to_reader, to_writer = await asyncio.open_connection(
                "127.0.0.1", self.target_port)
        except OSError:
            http11.abort(writer)
            return
        await asyncio.gather(self.pump(reader, to_writer, True),
                             self.pump(to_reader, writer, False))

    async def pump(self, reader, writer, is_forward):
        try:
            while data := await reader.read(32768):
                await self.link.carry(is_forward, len(data))
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            if writer.can_write_eof():
                http11.abort(writer)


class Program:
    def __init__(self, lab, number, front):
        self.lab = lab
        self.name = f"program{number}"
        self.front = front
        self.turns = 0
        self.last = ""
        self.ended_at = 0.0
        self.lost = []

    async def turn(self, size):
        self.turns += 1
        turn = f"{self.name}t{self.turns:04d}"
        fields = {"X-Request-Id": turn, "X-Program-Id": self.name,
                  "X-Session-Id": self.name, "X-Deadline-Ms": str(TIMEOUT_MS),
                  "X-Token-Count": f"10,{EVENTS * EVENT_TOKENS}"}
        if self.last:
            fields["X-Previous-Turn"] = self.last
        async with self.lab.gate:
            sent_at = self.lab.now()
            response = await request(self.front.port, "POST", "/turn/x", fields,
                                     b"x" * size, 7.0)
        age = sent_at - self.ended_at
        self.lab.note(f"client {turn} after {self.last or 'none'} through "
                      f"{self.front.name}: {response.status}"
                      f"{'' if response.complete else ' incomplete'}")
        if response.status == 404 and self.last and age < RETAIN_S:
            self.lost.append((turn, self.last, age))
        if response.status == 200 and response.complete:
            self.last = turn
            self.ended_at = self.lab.now()
            return True
        return False

    async def retry(self, size, tries=3):
        for _ in range(tries):
            if await self.turn(size):
                return True
            if self.lost:
                return False
            await asyncio.sleep(0.3)
        return False

    async def begin(self):
        for _ in range(FIRST_TURNS):
            if not await self.retry(INPUT_BYTES):
                return False
        return True


def last_in_view(lab, journals):
    """The one of the journals that joined the view last."""
    view = lab.store.value("daisywind/view")
    return max(journals, key=lambda journal: view.find(f'"{journal.name}"'))


async def lose_disk(lab, journal):
    await journal.kill()
    shutil.rmtree(journal.folder)
    lab.note(f"{journal.name} is killed and loses its disk")
    await asyncio.sleep(DOWN_S)
    await journal.start()
    lab.note(f"{journal.name} is started")


async def run(lab):
    lab.gate = asyncio.Semaphore(MAX_OPEN)
    await lab.open_store()
    lab.failure_domains = ["z1=r1", "z2=r1", "z3=r2"]
    engine = Engine("m0", lab)
    await engine.start()
    await lab.put_server(engine.name, "models", engine.address, zone="z3")
    await lab.put_configuration(
        [{"name": "turns", "prefix": "/turn/", "kind": "stream",
          "service": "models", "retain": True, "retain_s": RETAIN_S,
          "timeout_ms": TIMEOUT_MS, "sticky": True, "max_attempts": 2}],
        [{"name": "models",
          "engine": {"slots": 96, "kv_capacity_tokens": 200000,
                     "event_tokens": EVENT_TOKENS}}])
    link = Link()
    lab.make(["z1", "z2", "z3"], ["r1", "r1", "r2"])
    for journal in lab.journals[:2]:
        proxy = Proxy(link, journal.port)
        await proxy.start()
        journal.advertised = f"127.0.0.1:{proxy.port}"
    await lab.start_all()
    if not await lab.wait_ready():
        lab.note("the deployment did not become ready")
        return 2
    await asyncio.sleep(2)
    far = lab.fronts[2]
    programs = [Program(lab, n, far) for n in range(PROGRAMS)]
    served = await asyncio.gather(*(p.begin() for p in programs))
    lab.note(f"{sum(served)} of {PROGRAMS} programs have begun; "
             f"{link.bytes[True]} bytes sent over the link")
    if sum(served) < PROGRAMS:
        return 2
    if TROUBLE:
        await lose_disk(lab, lab.journals[2])
        await asyncio.sleep(BETWEEN_S)
        await lose_disk(lab, last_in_view(lab, lab.journals[:2]))
    else:
        await asyncio.sleep(DOWN_S + BETWEEN_S + DOWN_S)
    until = lab.now() + 30
    while lab.now() < until:
        await asyncio.sleep(2)
        probes = await asyncio.gather(*(p.turn(100) for p in programs[:8]))
        lab.note(f"{sum(probes)} of 8 programs are served; "
                 f"{link.bytes[False]} bytes came over the link")
        if any(probes) or any(p.lost for p in programs):
            break
    await asyncio.gather(*(p.retry(100) for p in programs if not p.lost))
    for program in programs:
        for turn, previous, age in program.lost:
            lab.note(f"LOST: {turn} is answered 404; {previous} was answered "
                     f"whole {age:.1f} s before")
    lost = sum(1 for p in programs if p.lost)
    lab.note(f"{lost} of {PROGRAMS} programs lost their turns")
    return 1 if lost else 0


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
