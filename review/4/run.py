"""Turns with large inputs are stored. A disk is lost, and 25 s after its machine is
back a second one.

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

from lab import EVENT_TOKENS, EVENTS, Engine, Lab, request  # noqa: E402

RETAIN_S = 60
TIMEOUT_MS = 6000
PROGRAMS = 72
# A quarter of max_body_bytes.
INPUT_BYTES = 1 << 20
MAX_OPEN = 6
DOWN_S = 2.0
# Time from the return of the first machine to the loss of the second disk;
# catch_up_s is 4.4.
BETWEEN_S = 25
WAIT_S = 14
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Program:
    def __init__(self, lab, number):
        self.lab = lab
        self.name = f"program{number}"
        self.front = lab.fronts[number % len(lab.fronts)]
        self.turns = 0
        self.last = ""
        self.ended_at = 0.0
        self.lost = []

    async def turn(self, size):
        """Sends the next turn once; returns whether it is served."""
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
        self.lab.note(f"client {turn} after {self.last or 'none'} through "
                      f"{self.front.name}: {response.status}"
                      f"{'' if response.complete else ' incomplete'}")
        age = sent_at - self.ended_at
        if response.status == 404 and self.last and age < RETAIN_S:
            self.lost.append((turn, self.last, age))
        if response.status == 200 and response.complete:
            self.last = turn
            self.ended_at = self.lab.now()
            return True
        return False

    async def retry(self, size):
        for _ in range(3):
            if await self.turn(size):
                return True
            await asyncio.sleep(0.3)
        return False


async def lose_disk(lab, journal):
    await journal.kill()
    shutil.rmtree(journal.folder)
    lab.note(f"{journal.name} is killed and loses its disk")
    await asyncio.sleep(DOWN_S)
    await journal.start()
    lab.note(f"{journal.name} is started")


async def serve(lab, programs, text):
    served = await asyncio.gather(*(p.turn(100) for p in programs))
    lab.note(f"{sum(served)} of {len(served)} turns are served {text}")
    return sum(served), len(served)


async def run(lab):
    lab.gate = asyncio.Semaphore(MAX_OPEN)
    await lab.open_store()
    lab.failure_domains = ["z1=r1", "z2=r1", "z3=r1"]
    for n in range(3):
        engine = Engine(f"m{n}", lab)
        await engine.start()
        await lab.put_server(engine.name, "models", engine.address,
                             zone=f"z{n + 1}")
    await lab.put_configuration(
        [{"name": "turns", "prefix": "/turn/", "kind": "stream",
          "service": "models", "retain": True, "retain_s": RETAIN_S,
          "timeout_ms": TIMEOUT_MS, "sticky": True, "max_attempts": 2}],
        [{"name": "models",
          "engine": {"slots": 96, "kv_capacity_tokens": 200000,
                     "event_tokens": EVENT_TOKENS}}],
        {"max_body_bytes": 4194304, "idle_timeout_ms": 15000})
    await lab.start(["z1", "z2", "z3"])
    if not await lab.wait_ready():
        lab.note("the deployment did not become ready")
        return 2
    await asyncio.sleep(2)
    programs = [Program(lab, n) for n in range(PROGRAMS)]
    begun = await asyncio.gather(*(p.retry(INPUT_BYTES) for p in programs))
    lab.note(f"{sum(begun)} of {PROGRAMS} programs have begun")
    if not all(begun):
        return 2
    await asyncio.sleep(1)
    if TROUBLE:
        await lose_disk(lab, lab.journals[0])
    await asyncio.sleep(BETWEEN_S - 2)
    ok, sent = await serve(lab, programs, "before the second disk is lost")
    if ok < sent:
        return 2
    await asyncio.sleep(1)
    if TROUBLE:
        await lose_disk(lab, lab.journals[1])
    until = lab.now() + WAIT_S
    while lab.now() < until:
        await serve(lab, programs[::12], "after the second loss")
        await asyncio.sleep(1)
    await serve(lab, [p for p in programs if not p.lost], "at the end")
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
