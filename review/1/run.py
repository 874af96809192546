"""A program runs for longer than its first turn's own retention time. Its first
turn came in through one zone, the later ones through another. Then one journal
process is killed for a few seconds, and the program continues.

Exits with 1 if a turn is answered 404 although the turn that it names was answered
whole less than retain_s before, 0 if none is, and 2 if the case could not run."""

import asyncio
import os
import pathlib
import sys
import traceback

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from lab import EVENT_TOKENS, EVENTS, Engine, Lab, request  # noqa: E402

RETAIN_S = 60
TIMEOUT_MS = 6000
PROGRAMS = 24
# Seconds from the first turn at which each program sends its next turns. No two
# are more than RETAIN_S apart.
TURN_TIMES_S = (1, 20, 40, 60, 80, 88)
# The journal is down from here, for the 3.5 s that the site's node_kill names.
KILL_AT_S = 91
DOWN_S = 3.5
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Program:
    def __init__(self, lab, number):
        self.lab = lab
        self.name = f"program{number}"
        self.turns = 0
        self.last = ""
        self.ended_at = 0.0
        self.lost = []
        self.failed = 0

    async def turn(self, front):
        """Sends the next turn, at most three times, as a client does that gets a
        503 or no answer."""
        for _ in range(3):
            self.turns += 1
            turn = f"{self.name}t{self.turns:04d}"
            fields = {"X-Request-Id": turn, "X-Program-Id": self.name,
                      "X-Session-Id": self.name,
                      "X-Deadline-Ms": str(TIMEOUT_MS),
                      "X-Token-Budget": "100000",
                      "X-Token-Count": f"10,{EVENTS * EVENT_TOKENS}"}
            if self.last:
                fields["X-Previous-Turn"] = self.last
            sent_at = self.lab.now()
            response = await request(front.port, "POST", "/turn/x", fields,
                                     f"<input of {turn}>".encode(), 7.0)
            age = sent_at - self.ended_at
            self.lab.note(f"client {turn} after {self.last or 'none'} through "
                          f"{front.name}: {response.status}"
                          f"{'' if response.complete else ' incomplete'}")
            if response.status == 404 and self.last and age < RETAIN_S:
                self.lost.append((turn, self.last, age))
                return
            if response.status == 200 and response.complete:
                self.last = turn
                self.ended_at = self.lab.now()
                return
            await asyncio.sleep(0.3)
        self.failed += 1


async def run(lab):
    await lab.open_store()
    lab.failure_domains = ["z1=r1", "z2=r1", "z3=r1"]
    engines = [Engine(f"m{n}", lab) for n in range(3)]
    for n, engine in enumerate(engines):
        await engine.start()
        await lab.put_server(engine.name, "models", engine.address,
                             zone=f"z{n + 1}")
    await lab.put_configuration(
        [{"name": "turns", "prefix": "/turn/", "kind": "stream",
          "service": "models", "retain": True, "retain_s": RETAIN_S,
          "timeout_ms": TIMEOUT_MS, "sticky": True, "max_attempts": 2}],
        [{"name": "models",
          "engine": {"slots": 96, "kv_capacity_tokens": 200000,
                     "event_tokens": EVENT_TOKENS}}])
    zones = ["z1", "z2", "z3"]
    await lab.start(zones)
    if not await lab.wait_ready():
        lab.note("the deployment did not become ready")
        return 2
    await asyncio.sleep(2)
    first, later = lab.fronts[2], lab.fronts[0]
    programs = [Program(lab, n) for n in range(PROGRAMS)]
    began = lab.now()
    await asyncio.gather(*(p.turn(first) for p in programs))
    for at in TURN_TIMES_S:
        await asyncio.sleep(began + at - lab.now())
        await asyncio.gather(*(p.turn(later) for p in programs))
    if any(p.failed or p.lost for p in programs):
        lab.note("turns failed before the disruption")
        return 2
    await asyncio.sleep(began + KILL_AT_S - lab.now())
    if TROUBLE:
        lab.note("SIGKILL to the journal in z2")
        await lab.journals[1].kill()
    await asyncio.gather(*(p.turn(later) for p in programs))
    await asyncio.sleep(began + KILL_AT_S + DOWN_S - lab.now())
    if TROUBLE:
        lab.note("start of the journal in z2")
        await lab.journals[1].start()
    await asyncio.sleep(6)
    await asyncio.gather(*(p.turn(later) for p in programs if not p.lost))
    for program in programs:
        for turn, previous, age in program.lost:
            lab.note(f"LOST: {turn} is answered 404; {previous} was answered "
                     f"whole {age:.1f} s before")
    lost = sum(len(p.lost) for p in programs)
    lab.note(f"{lost} of {PROGRAMS} programs lost their turns, "
             f"{sum(p.failed for p in programs)} turns failed otherwise")
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
