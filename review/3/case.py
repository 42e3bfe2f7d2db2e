"""A model server turns slow in the middle of its streams; they go on elsewhere while it still works on them."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
from world import *  # noqa: E402,F403

SLOWER = 5.0     # x of srv_slow
SLOW_S = 6.5     # for_s of srv_slow, at most
READ_S = 0.7     # a prompt of 22,680 tokens at 32.4 a ms
GAP_S = 0.4      # between two events; the sheet allows 500 ms
EVENTS = 16
OVERLAP_S = 0.4
PLAY_S = 16.0
PER_S = 3


class Engine(Server):
    """A sound model runner. While it is slow, its work takes longer; it goes on until the connection closes."""

    slow = False

    async def work(self, seconds):
        # In small steps, so that a change of speed counts at once.
        left = seconds
        while left > 0:
            step = min(left, 0.02)
            await asyncio.sleep(step * (SLOWER if self.slow else 1))
            left -= step

    async def run(self, request, connection):
        attempt, last = request.field("X-Attempt-Id"), int(request.field("Last-Event-Id", "0"))
        run = {"server": self.id, "from": self.world.record.now(), "to": None, "after": last}
        self.world.runs.setdefault(attempt, []).append(run)
        self.world.record.add("run", server=self.id, attempt=attempt, after=last, slow=self.slow)
        self.active += 1
        how = "closed"
        try:
            await self.work(READ_S)
            connection.write(head(200, self.signed(request) + [("Content-Type", "text/event-stream"),
                                                               ("Transfer-Encoding", "chunked")]))
            for number in range(last + 1, EVENTS + 1):
                event = f"id: {number}\ndata: {attempt} {number}\n\n"
                connection.write(f"{len(event):x}\r\n{event}\r\n".encode())
                self.world.record.add("event", server=self.id, attempt=attempt, number=number)
                await self.work(GAP_S)
            connection.write(b"0\r\n\r\n")
            how = "complete"
        finally:
            self.active -= 1
            run["to"] = self.world.record.now()
            self.world.record.add("run_ended", server=self.id, attempt=attempt, how=how)


async def case(world, trouble):
    world.runs = {}
    engines = [await world.add(Engine(world, f"i-engine{number}", "engines", f"z{number % 2}", 64))
               for number in range(6)]
    world.store.put("op/config", configuration(
        7, [route("drafts", "/drafts/", "streaming", "engines", resumable=True, itl_target_ms=500, timeout_ms=20000,
                  target_latency_ms=1600, session_affinity=True)],
        [{"name": "engines", "health_path": "/healthz", "max_connections": 610,
          "engine": {"slots": 64, "kv_capacity": 300000}}]))
    await world.start_gateways(["z0", "z0", "z1"])
    await asyncio.sleep(2.0)

    async def ask(number):
        attempt = world.attempt()
        fields = [("X-Deadline-Ms", "20000"), ("X-Model", "m"), ("X-Token-Count", f"22680,{3 * EVENTS}"),
                  ("X-Prefix-Hash", f"{attempt[:8]}:22680")]
        return await world.request(f"edge-{1 + number % 3}", "POST", "/drafts/a", fields, b"x" * 600, attempt, 25.0)

    tasks = []
    began = world.record.now()
    for number in range(int(PLAY_S * PER_S)):
        now = world.record.now() - began
        slow = trouble and 6.0 <= now < 6.0 + SLOW_S
        if slow != engines[0].slow:
            engines[0].slow = slow
            world.record.add("speed", server=engines[0].id, slow=slow)
        tasks.append(asyncio.ensure_future(ask(number)))
        await asyncio.sleep(1 / PER_S)
    engines[0].slow = False
    answers = await asyncio.gather(*tasks)
    served = [each for each in answers if each.status == 200 and each.complete]
    if len(served) < len(answers) / 2:
        raise CannotRun(f"only {len(served)} of {len(answers)} streams were served")
    breaches = []
    for attempt, runs in world.runs.items():
        for before, after in zip(runs, runs[1:]):
            together = min(before["to"], after["to"]) - after["from"]
            if after["after"] > 0 and together > OVERLAP_S:
                breaches.append(f"TWICE: request {attempt} went on at {after['server']} behind event {after['after']}, "
                                f"while {before['server']} still worked on it for {together * 1000:.0f} ms")
    return breaches


play(case, FOLDER)
