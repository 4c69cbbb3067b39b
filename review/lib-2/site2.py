"""A small deployment of the real program on loopback, with stand-ins of this review.

Three stores and two entry hosts run `target/release/catkinlatch host --settings FILE`, each at a
loopback address of its own, with the settings that deploy/host.jsonc gives on a small deployment
(bounds of sites/hp-survey.toml). Workers, clients and the platform are small stand-ins that speak
what PROTOCOL.md says. Everything that is sent, answered and run goes to record.txt.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
LIMIT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "limit.py")
PROGRAM = os.path.join(ROOT, "target", "release", "catkinlatch")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "site.example"
KEY = "3fexd9dnn2ctnfzs989a"
TENANT = "hule930"
ZONES = ["zone-a", "zone-b", "zone-c"]

STORE_MEMORY_MB = 270  # memory_mb of a store of hp-survey
RESTART_S = 0.5        # a process that is killed is restarted after a short delay

HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """What was sent, answered and run, with the time since the start in seconds."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.began

    def write(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


def free_ports(count, addresses):
    """Returns ports that are free at all the addresses."""
    ports = []
    while len(ports) < count:
        port = random.randint(20000, 32000)
        if port in ports:
            continue
        try:
            for address in addresses:
                with socket.socket() as probe:
                    probe.bind((address, port))
        except OSError:
            continue
        ports.append(port)
    return ports


async def read_head(reader):
    """Reads the head of a message; returns its first line and headers, or None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name.strip().lower(), value.strip()))
    return lines[0], headers


def header(headers, name):
    for other, value in headers:
        if other == name:
            return value
    return None


async def read_body(reader, headers, is_answer=False):
    """Reads a body; returns it and whether it is complete."""
    if (header(headers, "transfer-encoding") or "").lower() == "chunked":
        body = b""
        try:
            while True:
                size = int((await reader.readline()).strip() or b"x", 16)
                part = await reader.readexactly(size + 2)
                if size == 0:
                    return body, True
                body += part[:-2]
        except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError) as error:
            partial = getattr(error, "partial", b"")
            return body + partial, False
    length = header(headers, "content-length")
    if length is not None:
        try:
            return await reader.readexactly(int(length)), True
        except (asyncio.IncompleteReadError, ConnectionError, OSError) as error:
            return getattr(error, "partial", b""), False
    if not is_answer:
        return b"", True
    try:
        return await reader.read(-1), True
    except (ConnectionError, OSError):
        return b"", False


class Request:
    """A request as a worker got it."""

    def __init__(self, line, headers, body):
        self.method, self.path, _ = line.split(" ", 2)
        self.headers = headers
        self.body = body

    def get(self, name):
        return header(self.headers, name)

    @property
    def id(self):
        return self.get("attempt-id")


class Worker:
    """A worker that registers itself and runs what it gets; `handle` answers requests."""

    def __init__(self, site, service, name, zone, handle, slots=8, models=None, address=None):
        self.site, self.service, self.name, self.zone = site, service, name, zone
        self.handle, self.slots = handle, slots
        self.models = models or []
        self.ip = address or site.next_worker_ip()
        self.port = site.worker_port
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.state = "ready"
        self.server = None
        self.beating = None
        self.connections = set()

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    def log(self, text):
        self.site.record.write(f"worker {self.name}: {text}")

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)
        self.beating = asyncio.create_task(self.beat())

    def beat_body(self):
        self.seq += 1
        return json.dumps({
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
            "slots": self.slots, "state": self.state, "cold_left_ms": 0, "stage": "both",
            "models": self.models, "seq": self.seq, "born": self.born,
        })

    async def beat(self):
        while True:
            await self.site.control("PUT", f"/instances/{self.name}", self.beat_body(), quiet=True,
                                    tries=2)
            await asyncio.sleep(1.2)

    async def crash(self):
        """Ends as a process that is killed: its connections are reset, and it says nothing."""
        if self.beating:
            self.beating.cancel()
        if self.server:
            self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        self.log("crashed")

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, headers = head
                body, whole = await read_body(reader, headers)
                if not whole:
                    return
                request = Request(line, headers, body)
                expected = request.get("expect-instance")
                if expected is not None and expected != self.name:
                    await self.answer(writer, request, 421, b"", sealed=False, not_run=True)
                    continue
                if request.path == "/health":
                    await self.answer(writer, request, 200, b"ok", sealed=False,
                                      more=[("Instance-Id", self.name)])
                    continue
                task = asyncio.create_task(self.handle(self, request, reader, writer))
                # A worker drops a request when its connection closes.
                watch = asyncio.create_task(self.closed(reader, writer))
                done, _ = await asyncio.wait({task, watch}, return_when=asyncio.FIRST_COMPLETED)
                if task not in done:
                    task.cancel()
                    self.log(f"caller left {request.id}")
                    return
                watch.cancel()
                if task.result() is False or writer.transport.is_closing():
                    return
        except (ConnectionError, OSError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def closed(self, reader, writer):
        while not reader.at_eof() and not writer.transport.is_closing():
            await asyncio.sleep(0.02)

    async def answer(self, writer, request, status, body, sealed=True, not_run=False, more=()):
        lines = [f"HTTP/1.1 {status} Status"]
        if request.id is not None:
            lines.append(f"Attempt-Id: {request.id}")
        if sealed:
            lines.append(f"Server-Seal: {self.name}.{request.id}")
        if not_run:
            lines.append("Not-Executed: 1")
        lines += [f"{name}: {value}" for name, value in more]
        lines += [f"Content-Length: {len(body)}", "", ""]
        writer.write("\r\n".join(lines).encode() + body)
        await writer.drain()


class Answer:
    """What a client got; `status` is None if the connection ended without an answer."""

    def __init__(self, status, headers, body, is_complete):
        self.status, self.headers, self.body, self.is_complete = status, headers, body, is_complete

    def get(self, name):
        return header(self.headers, name)


class Client:
    """A connection of a client to an entry host, kept for several requests."""

    def __init__(self, site, address, key=KEY):
        self.site, self.address, self.key = site, address, key
        self.reader = self.writer = None

    async def open(self):
        ip, port = self.address.split(":")
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(ip, int(port)), 1.0)

    def close(self):
        if self.writer:
            self.writer.close()
            self.writer = None

    async def send(self, method, path, ident, deadline_ms=None, body=b"", headers=()):
        if self.writer is None:
            await self.open()
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Attempt-Id: {ident}"]
        if self.key is not None:
            lines.append(f"X-Api-Key: {self.key}")
        if deadline_ms is not None:
            lines.append(f"Deadline-Ms: {deadline_ms}")
        lines += [f"{name}: {value}" for name, value in headers]
        if body or method in ("POST", "PUT"):
            lines.append(f"Content-Length: {len(body)}")
        self.site.record.write(f"client -> {self.address}: {method} {path} {ident}")
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await self.writer.drain()

    async def receive(self, ident):
        while True:
            head = await read_head(self.reader)
            if head is None:
                self.site.record.write(f"client {ident}: the connection ended without an answer")
                return Answer(None, [], b"", False)
            line, headers = head
            status = int(line.split(" ")[1])
            if status >= 200:
                break
        body, complete = await read_body(self.reader, headers, is_answer=True)
        text = "complete" if complete else "CUT"
        self.site.record.write(f"client {ident}: {status} {text}, {len(body)} bytes")
        return Answer(status, headers, body, complete)

    async def call(self, method, path, ident, deadline_ms=None, body=b"", headers=(), limit=20.0):
        try:
            await self.send(method, path, ident, deadline_ms, body, headers)
            return await asyncio.wait_for(self.receive(ident), limit)
        except asyncio.TimeoutError:
            self.site.record.write(f"client {ident}: no answer within {limit} s")
            self.close()
            return Answer(None, [], b"", False)
        except (ConnectionError, OSError) as error:
            self.site.record.write(f"client {ident}: {error}")
            self.close()
            return Answer(None, [], b"", False)


class Node:
    """A process of the deployment."""

    def __init__(self, site, number, is_store):
        self.site, self.is_store = site, is_store
        self.ip = site.ips[number]
        kind = "store" if is_store else "front"
        self.name = f"{kind}-{number + 1}"
        self.process = None
        self.is_first_start = True
        self.path = os.path.join(site.folder, f"{self.name}.jsonc")
        self.data = os.path.join(site.folder, self.name)

    def settings(self):
        site = self.site
        callers, ready, control, directory, peers, metrics = site.ports
        settings = {
            "name": self.name, "host": self.ip, "zone": ZONES[site.ips.index(self.ip) % 3],
            "region": "region", "metrics_address": f"{self.ip}:{metrics}", "peer_port": peers,
            "seeds": [f"{ip}:{control}" for ip in site.ips[:site.stores_count]][:3],
            "is_first_start": self.is_first_start, "losses": 1,
            "platform_address": site.platform_address,
            "times": {
                "heartbeat_ms": 1200, "drain_ms": 2000, "grace_s": 8, "lease_ms": 3000,
                "checks_fences": True, "report_window_s": 5, "report_due_s": 10,
                "results_kept_s": 120, "cancel_ms": 3000, "apply_ms": 2000, "contact_ms": 3000,
                "ack_ms": 4000, "address_ttl_s": 5,
            },
            "resources": {
                "processor_share": 0.5 if self.is_store else 0.25,
                "memory_mb": STORE_MEMORY_MB if self.is_store else 260,
                "descriptors": 8200 if self.is_store else 4100,
            },
            "zones": {zone: "region" for zone in ZONES},
        }
        if self.is_store:
            settings["data_folder"] = self.data
            settings["control_address"] = f"{self.ip}:{control}"
        else:
            settings["callers_address"] = f"{self.ip}:{callers}"
            settings["ready_address"] = f"{self.ip}:{ready}"
            settings["directory_address"] = f"{self.ip}:{directory}"
        return settings

    def start(self):
        if self.site.is_closed:
            return
        if self.is_store:
            os.makedirs(self.data, exist_ok=True)
        with open(self.path, "w", encoding="utf-8") as file:
            json.dump(self.settings(), file)
        log = open(os.path.join(self.site.folder, f"{self.name}.log"), "ab")
        self.process = subprocess.Popen([PROGRAM, "host", "--settings", self.path], stdout=log,
                                        stderr=log, stdin=subprocess.DEVNULL)
        self.is_first_start = False
        self.site.record.write(f"{self.name}: started")

    def signal(self, number):
        self.site.record.write(f"{self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def log(self):
        with open(os.path.join(self.site.folder, f"{self.name}.log"), encoding="utf-8",
                  errors="replace") as file:
            return file.read()


class Site:
    """Three stores and two entry hosts, and the platform."""

    def __init__(self, folder, stores=3, entries=2):
        self.case_folder = folder
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review-2-")
        block = f"127.{random.randint(20, 220)}.{random.randint(1, 250)}"
        self.block = block
        self.ips = [f"{block}.{number + 1}" for number in range(stores + entries)]
        self.stores_count = stores
        self.worker_ips = iter(f"{block}.{number}" for number in range(50, 250))
        allocated = free_ports(8, self.ips + ["127.0.0.1", f"{block}.50"])
        self.ports = allocated[:6]
        self.worker_port = allocated[6]
        self.platform_address = f"{block}.40:{allocated[7]}"
        self.nodes = [Node(self, number, number < stores) for number in range(stores + entries)]
        self.stores, self.entries = self.nodes[:stores], self.nodes[stores:]
        self.is_closed = False
        self.reports = []
        self.version = 0

    def next_worker_ip(self):
        return next(self.worker_ips)

    def front(self, number=0):
        return f"{self.entries[number].ip}:{self.ports[0]}"

    def control_address(self, node):
        return f"{node.ip}:{self.ports[2]}"

    async def start(self):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("target/release/catkinlatch is missing")
        ip, port = self.platform_address.split(":")
        self.platform = await asyncio.start_server(self.serve_platform, ip, int(port))
        for node in self.nodes:
            node.start()

    async def serve_platform(self, reader, writer):
        while True:
            head = await read_head(reader)
            if head is None:
                break
            line, headers = head
            body, _ = await read_body(reader, headers)
            self.reports.append((line, headers, body))
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
            await writer.drain()
        writer.close()

    async def ask(self, address, method, path, body="", limit=1.0):
        """Sends one call on a new connection; returns the status and body, or None."""
        try:
            ip, port = address.split(":")
            reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, int(port)), 1.0)
        except (asyncio.TimeoutError, OSError):
            return None
        try:
            data = body.encode()
            writer.write((f"{method} {path} HTTP/1.1\r\nHost: control\r\nContent-Type: "
                          f"application/json\r\nContent-Length: {len(data)}\r\n\r\n").encode()
                         + data)
            await writer.drain()
            head = await asyncio.wait_for(read_head(reader), limit)
            if head is None:
                return None
            answer, _ = await asyncio.wait_for(read_body(reader, head[1], True), limit)
            return int(head[0].split(" ")[1]), answer
        except (asyncio.TimeoutError, ConnectionError, OSError):
            return None
        finally:
            writer.close()

    async def control(self, method, path, body="", quiet=False, tries=80, limit=4.0):
        """Makes a call of a worker or the operator, at one store after the other."""
        order = list(self.stores)
        random.shuffle(order)
        for attempt in range(tries):
            node = order[attempt % len(order)]
            got = await self.ask(self.control_address(node), method, path, body, limit)
            if not quiet or (got and got[0] >= 300):
                self.record.write(f"control {method} {path} at {node.name}: "
                                  f"{got[0] if got else 'no answer'}")
            if got and got[0] < 300:
                return got
            if got and got[0] in (400, 404, 409) and not quiet:
                return got
            await asyncio.sleep(0.1)
        return None

    async def configure(self, routes, services, **more):
        self.version += 7
        document = {
            "version": self.version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 33554432,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
        }
        document.update(more)
        got = await self.control("PUT", "/config", json.dumps(document))
        if not got or got[0] != 200:
            raise CannotRun(f"the configuration was not acknowledged: {got}")
        return document

    async def ready(self, limit=20.0):
        """Waits until all entry hosts are ready."""
        until = time.monotonic() + limit
        for node in self.entries:
            while True:
                got = await self.ask(f"{node.ip}:{self.ports[1]}", "GET", "/readiness")
                if got and got[0] == 200:
                    break
                if time.monotonic() > until:
                    raise CannotRun(f"{node.name} is not ready")
                await asyncio.sleep(0.1)

    async def leader(self):
        """Returns the store whose metrics or log say last that it leads."""
        best = None
        for node in self.stores:
            if not node.is_running():
                continue
            for line in node.log().splitlines():
                if "took over the duties" in line:
                    stamp = line.split(" ")[0]
                    if best is None or stamp > best[0]:
                        best = (stamp, node)
        return best[1] if best else None

    async def close(self):
        """Ends all processes."""
        self.is_closed = True
        for node in self.nodes:
            if node.is_running():
                node.process.kill()
                node.process.wait()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def peak_mb(pid):
    """Returns the most memory that a process has used so far in MB (10^6 bytes); 0 if it ended."""
    try:
        with open(f"/proc/{pid}/status", encoding="ascii") as file:
            peaks = [int(line.split()[1]) for line in file if line.startswith("VmHWM")]
    except OSError:
        return 0
    return peaks[0] * 1024 // 10**6 if peaks else 0


class Platform:
    """The platform's hand on the stores: it kills a process beyond its memory, and restarts it.

    `Fault` of RULES.md counts the ends of processes; memory over the limit counts.
    """

    def __init__(self, site):
        self.site = site
        self.killed = {node.name: 0 for node in site.stores}
        self.most = {node.name: 0 for node in site.stores}

    def is_broken(self):
        """Returns whether on half of the core processes ended by themselves three times."""
        return 2 * sum(count >= 3 for count in self.killed.values()) >= len(self.killed)

    def start(self):
        self.watches = [asyncio.create_task(self.watch(node)) for node in self.site.stores]

    async def stop(self):
        for watch in self.watches:
            watch.cancel()
        await asyncio.gather(*self.watches, return_exceptions=True)
        text = f"killed beyond {STORE_MEMORY_MB} MB: {self.killed}; most memory in MB: {self.most}"
        self.site.record.write(text)
        print(text)

    async def watch(self, node):
        while True:
            watcher = await asyncio.create_subprocess_exec(
                sys.executable, LIMIT, str(node.process.pid), str(STORE_MEMORY_MB),
                stdout=asyncio.subprocess.PIPE)
            try:
                said = (await watcher.stdout.read()).decode().split()
            except asyncio.CancelledError:
                self.most[node.name] = max(self.most[node.name], peak_mb(node.process.pid))
                watcher.kill()
                raise
            if len(said) == 2:
                self.most[node.name] = max(self.most[node.name], int(said[1]))
            if said and said[0] == "killed":
                self.killed[node.name] += 1
                self.site.record.write(
                    f"platform: {node.name} used {said[1]} MB of {STORE_MEMORY_MB} and was killed")
            node.process.wait()
            await asyncio.sleep(RESTART_S)
            node.start()


def main(folder, play, limit=110, entries=2):
    """Plays a case and exits as run.sh has to: `play` returns why the rule is broken, or None."""
    folder = os.path.abspath(folder)

    async def body():
        # Connections that are open at the end are of no interest.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        site = Site(folder, entries=entries)
        try:
            await site.start()
            return await asyncio.wait_for(play(site), limit)
        finally:
            await site.close()

    def leave(text, code):
        # Not sys.exit: connections that are still open must not hold the end up.
        print(text, flush=True)
        os._exit(code)

    async def run():
        try:
            broken = await body()
        except (CannotRun, asyncio.TimeoutError) as error:
            leave(f"the case couldn't run: {error!r}", NOT_RUN)
        except Exception as error:  # the case itself failed
            leave(f"the case couldn't run: {error!r}", NOT_RUN)
        if broken:
            leave(f"BROKEN: {broken}", BROKEN)
        leave("the rule held", HELD)

    asyncio.run(run())
