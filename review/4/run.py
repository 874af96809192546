"""A program with a token budget runs for longer than its first turns' own retention
time. Its first turns came in through one zone, the later ones through another. Then
one journal process is killed for a few seconds, and the program goes on until it is
told that its budget is spent.

Exits with 1 if a program is handed more tokens than its budget and the most of one
turn, 0 if none is, and 2 if the case could not run."""

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
TURN_TOKENS = EVENTS * EVENT_TOKENS
BUDGET = 14 * TURN_TOKENS
# Turns of each program at the start, and the seconds from then at which it sends
# one more.
FIRST_TURNS = 8
TURN_TIMES_S = (20, 40, 60, 80, 88)
# The journal is down from here, for the 3.5 s that the site's node_kill names.
KILL_AT_S = 91
DOWN_S = 3.5
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Program:
    """Each turn begins a chain of its own, as those of sub-agents may."""

    def __init__(self, lab, number):
        self.lab = lab
        self.name = f"program{number}"
        self.turns = 0
        self.tokens = 0
        self.is_spent = False
        self.failed = 0

    async def turn(self, front):
        self.turns += 1
        turn = f"{self.name}t{self.turns:04d}"
        fields = {"X-Request-Id": turn, "X-Program-Id": self.name,
                  "X-Session-Id": f"{self.name}s{self.turns}",
                  "X-Deadline-Ms": str(TIMEOUT_MS),
                  "X-Token-Budget": str(BUDGET),
                  "X-Token-Count": f"10,{TURN_TOKENS}"}
        response = await request(front.port, "POST", "/turn/x", fields,
                                 f"<input of {turn}>".encode(), 7.0)
        self.tokens += response.body.count(b"data: ") * EVENT_TOKENS
        self.lab.note(f"client {turn} through {front.name}: {response.status}"
                      f"{'' if response.complete else ' incomplete'}, "
                      f"{self.tokens} of {BUDGET} tokens")
        self.is_spent = response.status == 402
        self.failed += response.status not in (200, 402)

    async def run_to_end(self, front, until):
        while not self.is_spent and self.lab.now() < until:
            await self.turn(front)
            await asyncio.sleep(0.05)


async def run(lab):
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
                     "event_tokens": EVENT_TOKENS}}])
    await lab.start(["z1", "z2", "z3"])
    if not await lab.wait_ready():
        lab.note("the deployment did not become ready")
        return 2
    await asyncio.sleep(2)
    first, later = lab.fronts[2], lab.fronts[0]
    programs = [Program(lab, n) for n in range(PROGRAMS)]
    began = lab.now()
    for _ in range(FIRST_TURNS):
        await asyncio.gather(*(p.turn(first) for p in programs))
    for at in TURN_TIMES_S:
        await asyncio.sleep(began + at - lab.now())
        await asyncio.gather(*(p.turn(later) for p in programs))
    if any(p.failed or p.is_spent for p in programs):
        lab.note("turns failed before the disruption")
        return 2
    await asyncio.sleep(began + KILL_AT_S - lab.now())
    if TROUBLE:
        lab.note("SIGKILL to the journal in z2")
        await lab.journals[1].kill()
    up_at = began + KILL_AT_S + DOWN_S
    await asyncio.gather(*(p.run_to_end(later, up_at) for p in programs))
    await asyncio.sleep(up_at - lab.now())
    if TROUBLE:
        lab.note("start of the journal in z2")
        await lab.journals[1].start()
    await asyncio.sleep(2)
    await asyncio.gather(
        *(p.run_to_end(later, lab.now() + 3) for p in programs))
    broken = [p for p in programs if p.tokens > BUDGET + TURN_TOKENS]
    for program in broken:
        lab.note(f"BUDGET: {program.name} was handed {program.tokens} tokens; "
                 f"its budget is {BUDGET}, the most of one turn {TURN_TOKENS}")
    lab.note(f"{len(broken)} of {PROGRAMS} programs were handed too many tokens")
    return 1 if broken else 0


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
        lab.remove()
    print(lab.lines[-1])
    sys.stdout.flush()
    os._exit(status)


asyncio.run(main())
