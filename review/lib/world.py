"""Small stand-ins of the platform's store, its servers and its clients, on loopback addresses.

The gateways are the project's own program, started with the command of the deploy file. Everything else runs in
this process on one event loop. Each case writes what was sent, answered and run to `record.txt` in its folder.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be set up: exit status 2."""


class Record:
    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.began

    def add(self, kind, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():9.3f} {kind} {text}\n")
        self.file.flush()


class Request:
    def __init__(self, method, target, fields, body):
        self.method, self.target, self.fields, self.body = method, target, fields, body

    def field(self, name, default=None):
        for key, value in self.fields:
            if key.lower() == name.lower():
                return value
        return default


class Connection(asyncio.Protocol):
    """Serves one request at a time; a close by the peer cancels the request that is being served."""

    def __init__(self, serve):
        self.serve, self.buffer, self.task, self.open = serve, b"", None, True

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.buffer += data
        self.next()

    def connection_lost(self, error):
        self.open = False
        if self.task:
            self.task.cancel()

    def next(self):
        if self.task or not self.open:
            return
        request, self.buffer = parse_request(self.buffer)
        if request:
            self.task = asyncio.get_running_loop().create_task(self.run(request))

    async def run(self, request):
        try:
            await self.serve(request, self)
        finally:
            self.task = None
        self.next()

    def write(self, data):
        if self.open:
            self.transport.write(data)

    def answer(self, status, fields, body=b""):
        if isinstance(body, str):
            body = body.encode()
        self.write(head(status, list(fields) + [("Content-Length", str(len(body)))]) + body)

    def close(self):
        self.open = False
        self.transport.close()


def head(status, fields):
    lines = [f"HTTP/1.1 {status} Status"] + [f"{name}: {value}" for name, value in fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def parse_request(data):
    end = data.find(b"\r\n\r\n")
    if end < 0:
        return None, data
    lines = data[:end].decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    fields = [tuple(part.strip() for part in line.split(":", 1)) for line in lines[1:]]
    length = 0
    for name, value in fields:
        if name.lower() == "content-length":
            length = int(value)
    begin = end + 4
    if len(data) < begin + length:
        return None, data
    return Request(method, target, fields, data[begin : begin + length]), data[begin + length :]


class Store:
    """The platform's store: items with revisions, ranges, and watches that wait."""

    def __init__(self):
        self.items, self.history, self.revision, self.waiting = {}, [], 100, set()

    def put(self, key, value):
        self.revision += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {"key": key, "value": text, "revision": self.revision, "created": created, "lease": 0}
        self.items[key] = item
        self.changed(item)

    def remove(self, key):
        self.revision += 1
        del self.items[key]
        self.changed({"key": key, "revision": self.revision, "deleted": True})

    def changed(self, event):
        self.history.append(event)
        for future in self.waiting:
            if not future.done():
                future.set_result(None)

    async def serve(self, request, connection):
        parts = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(parts.query, keep_blank_values=True).items()}
        json_type = [("Content-Type", "application/json")]
        await asyncio.sleep(0.004)
        if parts.path == "/kv-key":
            item = self.items.get(unquote(query["key"]))
            body = dict(item, store_revision=self.revision) if item else {"store_revision": self.revision}
            connection.answer(200 if item else 404, json_type, json.dumps(body))
        elif parts.path == "/kv-range":
            prefix, after = query.get("path_prefix", ""), query.get("after", "")
            found = [self.items[key] for key in sorted(self.items) if key.startswith(prefix) and key > after]
            body = {"items": found, "has_more": False, "store_revision": self.revision}
            connection.answer(200, json_type, json.dumps(body))
        elif parts.path == "/kv-watch":
            after, wait = int(query["after"]), min(30.0, int(query["wait_ms"]) / 1000)
            if not any(each["revision"] > after for each in self.history):
                future = asyncio.get_running_loop().create_future()
                self.waiting.add(future)
                try:
                    await asyncio.wait_for(future, wait)
                except asyncio.TimeoutError:
                    pass
                finally:
                    self.waiting.discard(future)
            events = [each for each in self.history if each["revision"] > after]
            body = {"events": events, "store_revision": self.revision}
            connection.answer(200, json_type, json.dumps(body))
        else:
            connection.answer(404, [])


class Link:
    """A link to one address that can be cut: bytes wait in both directions until it heals."""

    def __init__(self, target):
        self.target, self.healed, self.flows = target, asyncio.Event(), set()
        self.passed = 0  # number of calls that have gone to the target
        self.watch = None  # when the last call passed, if it was a watch
        self.healed.set()

    async def start(self, ip):
        self.server = await asyncio.start_server(self.accept, ip, 0)
        self.address = self.server.sockets[0].getsockname()[:2]

    async def accept(self, reader, writer):
        # While the link is cut, a new connection is not opened to the target.
        try:
            await self.healed.wait()
            other_reader, other_writer = await asyncio.open_connection(*self.target)
        except (OSError, asyncio.CancelledError):
            writer.close()
            return
        flows = [asyncio.ensure_future(self.copy(*each))
                 for each in ((reader, other_writer, True), (other_reader, writer, False))]
        self.flows.update(flows)

    async def copy(self, reader, writer, are_calls):
        try:
            while data := await reader.read(65536):
                await self.healed.wait()
                if are_calls:
                    self.passed += 1
                    self.watch = time.monotonic() if b"/kv-watch" in data else None
                writer.write(data)
                await writer.drain()
            await self.healed.wait()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def set_cut(self, cut):
        if cut:
            self.healed.clear()
        else:
            self.healed.set()


class Server:
    """A server of one service. Subclasses implement `run`."""

    def __init__(self, world, name, service, zone, slots=8):
        self.world, self.id, self.service, self.zone, self.slots = world, name, service, zone, slots
        self.phase, self.sequence, self.cold = "ready", 0, 0
        self.connections, self.active = set(), 0

    async def start(self):
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(self.accept, "127.0.0.1", 0)
        ip, port = self.listener.sockets[0].getsockname()[:2]
        self.address = f"{ip}:{port}"

    def accept(self):
        connection = Connection(self.serve)
        self.connections.add(connection)
        return connection

    def entry(self):
        self.sequence += 1
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                "slots": self.slots, "phase": self.phase, "cold_remaining_ms": self.cold, "sequence": self.sequence}

    def publish(self):
        self.world.store.put(f"servers/{self.id}", self.entry())

    def exit(self):
        """Ends like a process: the port is closed, and so are the connections."""
        self.listener.close()
        for connection in self.connections:
            if connection.open:
                connection.transport.abort()

    def common(self, request):
        fields = [("X-Instance-Load", f"{self.active},0,{self.slots}")]
        attempt = request.field("X-Attempt-Id")
        if attempt:
            fields.append(("X-Attempt-Id", attempt))
        return fields

    async def serve(self, request, connection):
        expected = request.field("X-Expected-Instance")
        if expected and expected != self.id:
            connection.answer(421, self.common(request) + [("X-Not-Executed", "1")])
            return
        if request.target == "/healthz":
            connection.answer(200, self.common(request) + [("X-Instance-Id", self.id)])
            return
        await self.run(request, connection)

    async def run(self, request, connection):
        raise NotImplementedError

    def signed(self, request):
        attempt = request.field("X-Attempt-Id", "")
        return self.common(request) + [("X-Instance-Signature", f"{self.id}.{attempt}")]


class PlainServer(Server):
    """Runs each request for a while and answers it."""

    work_s = 0.02

    async def run(self, request, connection):
        attempt = request.field("X-Attempt-Id", "")
        self.world.record.add("run", server=self.id, attempt=attempt, method=request.method, target=request.target)
        self.world.ran(self, attempt)
        self.active += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.active -= 1
        connection.answer(200, self.signed(request), f"answer to {attempt} of {self.id}")


class StageServer(Server):
    """Does the pieces of a call one call after the other, and remembers what each result is."""

    call_s, item_s = 0.05, 0.002

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.lock, self.made = asyncio.Lock(), 0

    async def run(self, request, connection):
        if request.target == "/stage-free":
            connection.answer(200, self.common(request))
            return
        items = json.loads(request.body)["items"]
        async with self.lock:
            self.active = 1
            await asyncio.sleep(self.call_s + self.item_s * len(items))
            self.active = 0
        results = []
        for item in items:
            self.made += 1
            handle = f"{self.address}/{self.id}{self.made:x}"
            self.world.results[handle] = (item["id"], item["stage"], item["segment"])
            self.world.record.add("piece", server=self.id, request=item["id"], stage=item["stage"],
                                  segment=item["segment"], key=item.get("key"), inputs=item.get("inputs"),
                                  handle=handle)
            self.world.asked(self, item)
            results.append({"handle": handle})
        body = json.dumps({"items": results})
        await self.send(request, connection, body)

    async def send(self, request, connection, body):
        connection.answer(200, self.common(request) + [("Content-Type", "application/json")], body)


class World:
    def __init__(self, folder):
        self.record = Record(folder)
        self.store, self.results, self.servers, self.links = Store(), {}, [], {}
        self.processes, self.temporary = {}, tempfile.TemporaryDirectory(prefix="orchidlead-review-")
        self.settings = {}
        self.attempts = 0

    # Hooks of the cases.
    def ran(self, server, attempt):
        pass

    def asked(self, server, item):
        pass

    async def add(self, server, publish=True):
        await server.start()
        self.servers.append(server)
        if publish:
            server.publish()
        return server

    async def start_store(self):
        loop = asyncio.get_running_loop()
        self.store_listener = await loop.create_server(lambda: Connection(self.store.serve), "127.0.0.1", 0)
        self.store_address = self.store_listener.sockets[0].getsockname()[:2]

    async def start_gateways(self, zones):
        """Starts a gateway for each zone in the list and waits until all are ready."""
        ips = [f"127.0.1.{number + 1}" for number in range(len(zones))]
        ports = free_ports(ips, 4)
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            command = tomllib.load(file)["roles"]["gateway"]["run"].split(" ")
        if not os.path.exists(os.path.join(ROOT, command[0])):
            raise CannotRun(f"{command[0]} isn't built")
        contacts = ",".join(f'"{ip}:{ports[2]}"' for ip in ips[:3])
        regions = ",".join(f'"{zone}": "region"' for zone in sorted(set(zones)))
        for number, (ip, zone) in enumerate(zip(ips, zones)):
            name = f"edge-{number + 1}"
            link = self.links[name] = Link(self.store_address)
            await link.start("127.0.0.1")
            text = (f'vm: "{name}"\ndata_center: "{zone}"\nregion: "region"\nregions: {{ {regions} }}\n'
                    f'capacity: 0.25\nlisten:\n  clients: "{ip}:{ports[0]}"\n  readiness: "{ip}:{ports[1]}"\n'
                    f'  peers: "{ip}:{ports[2]}"\n  relay: "{ip}:{ports[3]}"\n'
                    f'store: "{link.address[0]}:{link.address[1]}"\nfirst_contacts: [{contacts}]\n'
                    f'bounds:\n  stop_grace: 8s\n  publication_apply: 2000ms\n  retry_share: 0.2\n'
                    f'  retry_reserve: 52\n  retry_window: 10s\n')
            path = os.path.join(self.temporary.name, f"{name}.yaml")
            with open(path, "w", encoding="utf-8") as file:
                file.write(text)
            self.settings[name] = {"clients": (ip, ports[0]), "readiness": (ip, ports[1]), "path": path,
                                   "command": command}
            self.start_gateway(name)
        deadline = time.monotonic() + 15
        for name in self.settings:
            while await self.readiness(name) != 200:
                if time.monotonic() > deadline:
                    raise CannotRun(f"{name} isn't ready")
                await asyncio.sleep(0.1)

    def start_gateway(self, name):
        made = self.settings[name]
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["ORCHIDLEAD_NODE_FILE"] = made["path"]
        log = open(os.path.join(self.temporary.name, f"{name}.log"), "ab")
        self.processes[name] = subprocess.Popen(made["command"], cwd=ROOT, env=environment, stdout=log,
                                                stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL)
        log.close()
        self.record.add("started", gateway=name, pid=self.processes[name].pid)

    def log_of(self, name):
        with open(os.path.join(self.temporary.name, f"{name}.log"), encoding="utf-8", errors="replace") as file:
            return file.read()

    async def readiness(self, name):
        try:
            answer = await asyncio.wait_for(exchange(self.settings[name]["readiness"], "GET", "/readyz", []), 1)
            return answer.status
        except (OSError, asyncio.TimeoutError):
            return 0

    def attempt(self):
        self.attempts += 1
        return f"{random.getrandbits(48):012x}{self.attempts:04x}"

    async def request(self, gateway, method, target, fields, body=b"", attempt=None, timeout=20.0, **options):
        attempt = attempt or self.attempt()
        fields = [("Host", "reunion.example"), ("X-Attempt-Id", attempt)] + list(fields)
        self.record.add("sent", attempt=attempt, gateway=gateway, method=method, target=target)
        try:
            answer = await asyncio.wait_for(
                exchange(self.settings[gateway]["clients"], method, target, fields, body, **options), timeout)
        except asyncio.TimeoutError:
            answer = Answer()
        except OSError:
            answer = Answer()
        self.record.add("answered", attempt=attempt, status=answer.status, complete=answer.complete,
                        bytes=len(answer.body), signature=answer.field("X-Instance-Signature"))
        answer.attempt = attempt
        return answer

    def end(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        self.temporary.cleanup()


class Answer:
    """status 0: the connection ended, or the time was over, before an answer began."""

    def __init__(self):
        self.status, self.fields, self.body, self.complete, self.attempt = 0, [], b"", False, ""

    def field(self, name):
        for key, value in self.fields:
            if key.lower() == name.lower():
                return value
        return None


async def exchange(address, method, target, fields, body=b"", on_bytes=None, read_pause=0.0, read_size=65536,
                   receive_buffer=0):
    reader, writer = await connect(address, receive_buffer)
    answer = Answer()
    try:
        fields = list(fields)
        if body or method == "POST":
            fields.append(("Content-Length", str(len(body))))
        lines = [f"{method} {target} HTTP/1.1"] + [f"{name}: {value}" for name, value in fields]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        data = b""
        while b"\r\n\r\n" not in data:
            more = await reader.read(read_size)
            if not more:
                return answer
            data += more
        text, data = data.split(b"\r\n\r\n", 1)
        lines = text.decode("latin-1").split("\r\n")
        answer.status = int(lines[0].split(" ")[1])
        answer.fields = [tuple(part.strip() for part in line.split(":", 1)) for line in lines[1:]]
        length, chunked = answer.field("Content-Length"), answer.field("Transfer-Encoding") == "chunked"
        while True:
            if chunked:
                data, done = take_chunks(data, answer, on_bytes)
            else:
                answer.body, data = answer.body + data, b""
                done = length is not None and len(answer.body) >= int(length)
            if done:
                answer.complete = True
                return answer
            if read_pause:
                await asyncio.sleep(read_pause)
            more = await reader.read(read_size)
            if not more:
                answer.complete = length is None and not chunked
                return answer
            data += more
    except ConnectionError:
        return answer
    finally:
        writer.close()


async def connect(address, receive_buffer):
    if not receive_buffer:
        return await asyncio.open_connection(*address)
    made = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    made.setblocking(False)
    await asyncio.get_running_loop().sock_connect(made, address)
    return await asyncio.open_connection(sock=made, limit=receive_buffer)


def take_chunks(data, answer, on_bytes):
    while True:
        end = data.find(b"\r\n")
        if end < 0:
            return data, False
        size = int(data[:end], 16)
        if len(data) < end + 2 + size + 2:
            return data, False
        part = data[end + 2 : end + 2 + size]
        data = data[end + 2 + size + 2 :]
        if size == 0:
            return data, True
        answer.body += part
        if on_bytes:
            on_bytes(part)


def free_ports(ips, count):
    """Returns ports that are free on all addresses, for TCP and UDP."""
    found = []
    for port in random.sample(range(20000, 32000), 400):
        try:
            for ip in ips:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as tried:
                        tried.bind((ip, port))
        except OSError:
            continue
        found.append(port)
        if len(found) == count:
            return found
    raise CannotRun("no free ports")


def route(name, prefix, kind, service, **more):
    made = {"name": name, "hostname": "reunion.example", "path_prefix": prefix, "type": kind, "service": service,
            "timeout_ms": 6000, "target_latency_ms": 1100, "priority": 1, "max_attempts": 2, "stages": [],
            "anonymous": False, "session_affinity": False, "resumable": False}
    made.update(more)
    return made


def stage_service(name, **more):
    segments = {"slots": 1, "queue": 2, "batch": 8, "call_ms": 50, "item_ms": 2, "headroom_mb": 18.0,
                "handle_s": 4.0, "link_mbps": 10000}
    segments.update(more)
    return {"name": name, "health_path": "/healthz", "max_connections": 360, "segments": segments}


def configuration(version, routes, services):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}}


def play(case, folder, limit_s=110):
    """Runs a case. `case(world, trouble)` returns the breaches that clients, servers or the platform saw."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        world = World(folder)
        try:
            await world.start_store()
            breaches = await asyncio.wait_for(case(world, trouble), limit_s)
            for each in breaches:
                world.record.add("breach", what=each)
            ended = [name for name, process in world.processes.items() if process.poll() is not None]
            world.record.add("verdict", broken=bool(breaches), trouble=trouble, gateways_ended=ended)
            if os.environ.get("KEEP_LOGS"):
                for name in world.settings:
                    with open(os.path.join(os.environ["KEEP_LOGS"], f"{name}.log"), "w") as file:
                        file.write(world.log_of(name))
            print(f"{len(breaches)} breaches" + (f", the first: {breaches[0]}" if breaches else ""))
            return BROKEN if breaches else HELD
        except CannotRun as why:
            print(f"cannot run: {why}")
            return NOT_RUN
        except asyncio.TimeoutError:
            print("cannot run: the case took too long")
            return NOT_RUN
        finally:
            world.end()

    def stop(number, frame):
        raise SystemExit(NOT_RUN)

    signal.signal(signal.SIGTERM, stop)
    sys.exit(asyncio.run(run()))
