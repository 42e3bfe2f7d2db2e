"""One machine that was cut off from the store is back, and a server leaves; machines that were never cut keep it."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
from world import *  # noqa: E402,F403

ROUNDS = 8
CUT_S = 3.0        # core_cut lasts 5.5 s at most
DRAIN_S = 2.0      # drain_ms
A_LITTLE_S = 0.2   # the server serves for drain_ms and a little longer
PER_S = 60


class Order(PlainServer):
    work_s = 0.08


async def case(world, trouble):
    late, lost, runs, left = [], [], {}, {}

    def ran(server, attempt):
        runs[attempt] = server.id
        since = world.record.now() - left.get(server.id, world.record.now())
        if since > DRAIN_S and attempt in sent:
            late.append((attempt, server.id, since))
            world.record.add("late", attempt=attempt, server=server.id, after=round(since, 3))

    world.ran, sent = ran, set()
    for number in range(2):
        await world.add(Order(world, f"i-old{number}", "orders", "z0", 6))
    world.store.put("op/config", configuration(
        7, [route("orders", "/orders/", "unsafe", "orders", timeout_ms=3000, target_latency_ms=300)],
        [{"name": "orders", "health_path": "/healthz", "max_connections": 96}]))
    await world.start_gateways(["z0", "z0", "z0", "z1"])
    await asyncio.sleep(6.0)
    now = time.monotonic()
    readers = [name for name in ("edge-1", "edge-2", "edge-3")
               if world.links[name].watch and now - world.links[name].watch < 3]
    calm = [name for name in ("edge-1", "edge-2", "edge-3") if name not in readers]
    world.record.add("roles", readers=readers, calm=calm)
    if len(readers) != 2:
        raise CannotRun(f"{len(readers)} readers")
    going = True

    async def ask(number):
        attempt = world.attempt()
        sent.add(attempt)
        answer = await world.request(calm[0], "POST", f"/orders/{number}", [("X-Deadline-Ms", "3000")], b"order",
                                     attempt)
        if answer.status not in (200, 503) and attempt in runs:
            lost.append((attempt, answer.status, runs[attempt]))

    async def traffic():
        number, tasks = 0, []
        while going:
            tasks.append(asyncio.ensure_future(ask(number)))
            number += 1
            await asyncio.sleep(1 / PER_S)
        await asyncio.gather(*tasks)

    async def leave(number):
        """A server leaves without `draining`: its entry is removed, and it serves on for a while."""
        server = await world.add(Order(world, f"i-new{number}", "orders", "z0", 6))
        await asyncio.sleep(1.5)
        link = world.links[readers[0]]
        if trouble:
            link.set_cut(True)
            world.record.add("cut", gateway=readers[0])
            await asyncio.sleep(CUT_S)
            passed = link.passed
            link.set_cut(False)
            world.record.add("healed", gateway=readers[0])
            while link.passed == passed:
                await asyncio.sleep(0.02)
        await asyncio.sleep(0.2)
        world.store.remove(f"servers/{server.id}")
        left[server.id] = world.record.now()
        world.record.add("removed", server=server.id)
        await asyncio.sleep(DRAIN_S + A_LITTLE_S)
        server.exit()
        world.record.add("exited", server=server.id)
        await asyncio.sleep(2.0)

    flow = asyncio.ensure_future(traffic())
    for number in range(ROUNDS):
        await leave(number)
    going = False
    await flow
    for attempt, status, where in lost:
        world.record.add("lost", attempt=attempt, status=status, ran_at=where)
    print(f"{len(lost)} requests that had run were answered with a failure")
    if not late:
        return []
    worst = max(late, key=lambda each: each[2])
    return [f"DRAIN: {len(late)} requests of {calm[0]}, which was never disturbed, reached a server that was gone, "
            f"at most {worst[2]:.2f} s after its removal"]


play(case, FOLDER)
