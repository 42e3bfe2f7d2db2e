"""A request leaves out the first of two stages; the pieces of the second are asked for with an empty key."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
from world import *  # noqa: E402,F403


class Engine(Server):
    async def run(self, request, connection):
        attempt = request.field("X-Attempt-Id")
        self.world.record.add("run", server=self.id, attempt=attempt, inputs=request.field("X-Input-Count"))
        event = f"id: 1\ndata: {attempt}\n\n"
        connection.write(head(200, self.signed(request) + [("Content-Type", "text/event-stream"),
                                                           ("Transfer-Encoding", "chunked")]))
        connection.write(f"{len(event):x}\r\n{event}\r\n0\r\n\r\n".encode())


async def case(world, trouble):
    breaches, keys = [], {}

    def asked(server, item):
        if "key" in item and item["key"] != keys[item["id"]]:
            breaches.append(f"UNASKED: a piece of request {item['id']} was asked for with the key "
                            f"{item['key']!r}; the client's is {keys[item['id']]!r}")

    world.asked = asked
    for number in range(2):
        await world.add(StageServer(world, f"i-fetch{number}", "fetchers", f"z{number}", 1))
        await world.add(StageServer(world, f"i-rank{number}", "rankers", f"z{number}", 1))
        await world.add(Engine(world, f"i-engine{number}", "engines", f"z{number}", 64))
    stages = [{"service": "fetchers", "after": [], "length": 1000},
              {"service": "rankers", "after": [0], "length": 1000}]
    world.store.put("op/config", configuration(
        7, [route("drafts", "/drafts/", "streaming", "engines", stages=stages, resumable=True, itl_target_ms=500)],
        [stage_service("fetchers"), stage_service("rankers"),
         {"name": "engines", "health_path": "/healthz", "max_connections": 360,
          "engine": {"slots": 64, "kv_capacity": 300000}}]))
    await world.start_gateways(["z0", "z1"])
    served = 0
    for number in range(40):
        attempt = world.attempt()
        keys[attempt] = attempt[:10]
        counts = "0,2" if trouble and number % 4 == 0 else "1,2"
        fields = [("X-Deadline-Ms", "6000"), ("X-Model", "m"), ("X-Token-Count", "100,3"),
                  ("X-Chunk-Count", counts), ("X-Chunk-Key", keys[attempt])]
        answer = await world.request(f"edge-{1 + number % 2}", "POST", "/drafts/a", fields, b"x" * 600, attempt)
        served += answer.status == 200
    if served < 20:
        raise CannotRun(f"only {served} of 40 requests were served")
    return breaches


play(case, FOLDER)
