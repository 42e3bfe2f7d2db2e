"""One machine is cut off from the store for a second, while a server that has just started is drained."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
from world import *  # noqa: E402,F403

ROUNDS = 6
DRAIN_S = 2.0       # drain_ms
CONTACT_S = 3.0     # contact_ms
SERVES_ON_S = 10.0  # how long the server serves after it reported `draining`: "at times many seconds"
PER_S = 25


class Order(PlainServer):
    work_s = 0.08


async def case(world, trouble):
    breaches, late, lost, runs = [], [], [], {}
    drained = {}  # server -> when the store accepted `draining`, when the cut had healed

    def ran(server, attempt):
        now = world.record.now()
        runs.setdefault(attempt, []).append(server.id)
        if server.id in drained and sent_at.get(attempt, 0) > drained[server.id][1] + CONTACT_S \
                and now > drained[server.id][0] + DRAIN_S:
            late.append((attempt, server.id, now - drained[server.id][0]))
            world.record.add("late", attempt=attempt, server=server.id, after=round(late[-1][2], 3))

    world.ran, sent_at = ran, {}
    for number in range(2):
        await world.add(Order(world, f"i-old{number}", "orders", "z0", 6))
    world.store.put("op/config", configuration(
        7, [route("orders", "/orders/", "unsafe", "orders", timeout_ms=3000, target_latency_ms=300)],
        [{"name": "orders", "health_path": "/healthz", "max_connections": 96}]))
    await world.start_gateways(["z0", "z0", "z1"])
    await asyncio.sleep(4.0)
    going = True

    async def ask(number):
        attempt = world.attempt()
        sent_at[attempt] = world.record.now()
        answer = await world.request(f"edge-{1 + number % 3}", "POST", f"/orders/{number}",
                                     [("X-Deadline-Ms", "3000")], b"order", attempt)
        if answer.status not in (200, 503) and attempt in runs:
            lost.append((attempt, answer.status, runs[attempt]))

    async def traffic():
        number, tasks = 0, []
        while going:
            tasks.append(asyncio.ensure_future(ask(number)))
            number += 1
            await asyncio.sleep(1 / PER_S)
        await asyncio.gather(*tasks)

    async def start_and_drain(number):
        """A server starts, is still cold, and is taken away again."""
        server = Order(world, f"i-new{number}", "orders", "z0", 6)
        link = world.links["edge-1"]
        server.cold = 2800
        await world.add(server)
        world.record.add("registered", server=server.id, cold=server.cold)
        await asyncio.sleep(1.2)  # heartbeats
        server.cold = 1600
        server.publish()
        await asyncio.sleep(1.0)
        if trouble:
            world.record.add("cut", gateway="edge-1")
            link.set_cut(True)
        await asyncio.sleep(0.2)
        server.cold = 400
        server.publish()
        world.record.add("heartbeat", server=server.id, cold=server.cold)
        await asyncio.sleep(0.6)
        server.cold, server.phase = 0, "draining"
        server.publish()
        drained_at = world.record.now()
        world.record.add("draining", server=server.id)
        await asyncio.sleep(0.35)
        link.set_cut(False)
        world.record.add("healed", gateway="edge-1")
        drained[server.id] = (drained_at, world.record.now())
        await asyncio.sleep(SERVES_ON_S)
        world.store.remove(f"servers/{server.id}")
        server.exit()
        world.record.add("exited", server=server.id)
        await asyncio.sleep(1.0)

    flow = asyncio.ensure_future(traffic())
    for number in range(ROUNDS):
        await start_and_drain(number)
    going = False
    await flow
    if late:
        worst = max(late, key=lambda each: each[2])
        breaches.append(f"DRAIN: {len(late)} requests reached a drained server, at most {worst[2]:.1f} s after")
    for attempt, status, where in lost:
        world.record.add("lost", attempt=attempt, status=status, ran_at=where)
    print(f"{len(lost)} requests that had run were answered with a failure")
    return breaches


play(case, FOLDER)
