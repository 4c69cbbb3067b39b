"""A small deployment of real processes on loopback, with stand-ins for what surrounds it.

Three store hosts and two entry hosts run the program as the deploy file does, with the settings of
`deploy/host.jsonc` and the bounds of the site hp-survey. Workers, the platform, operators, trainers
and clients are stand-ins in this process. All addresses are loopback addresses.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "release", "catkinlatch")
HOST = "ficu95.example"
KEY = "3fexd9dnn2ctnfzs989a"
TENANT = "hule930"
HEARTBEAT_MS = 1200
CONTACT_MS = 3000
ZONES = ["wessex-a", "wessex-b", "wessex-c"]


class CannotRun(Exception):
    """The case could not run, which says nothing about the rule."""


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def line(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Answer:
    """An answer as a client sees it; `end` says how its body ended: length, chunks, close, reset,
    cut (the connection closed before the announced end), time or none (no answer at all)."""

    def __init__(self):
        self.version, self.status, self.headers, self.body, self.end = "", 0, {}, b"", "none"

    def looks_complete(self):
        return self.end in ("length", "chunks", "close")

    def __str__(self):
        return f"{self.version} {self.status} end={self.end} bytes={len(self.body)}"


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Reads the body of a request."""
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def receive(reader, answer, on_body=None):
    start, answer.headers = await read_head(reader)
    parts = start.split(" ", 2)
    answer.version, answer.status = parts[0], int(parts[1])

    def take(part):
        answer.body += part
        if on_body:
            on_body(answer)

    headers = answer.headers
    if "chunked" in headers.get("transfer-encoding", "").lower():
        answer.end = "cut"
        while True:
            line = await reader.readline()
            if not line.endswith(b"\n"):
                return
            left = size = int(line.split(b";")[0], 16)
            while left:
                part = await reader.read(left)
                if not part:
                    return
                take(part)
                left -= len(part)
            await reader.readline()
            if size == 0:
                answer.end = "chunks"
                return
    if "content-length" in headers:
        answer.end = "cut"
        left = int(headers["content-length"])
        while left:
            part = await reader.read(left)
            if not part:
                return
            take(part)
            left -= len(part)
        answer.end = "length"
        return
    answer.end = "time"
    while True:
        part = await reader.read(65536)
        if not part:
            answer.end = "close"
            return
        take(part)


async def call(address, method, path, headers=None, body=b"", limit=5.0, on_body=None):
    """Sends a request over a new connection and reads the answer to its end."""
    answer = Answer()
    ip, port = address
    writer = None
    try:
        async def run():
            nonlocal writer
            reader, writer = await asyncio.open_connection(ip, port, limit=1 << 22)
            lines = [f"{method} {path} HTTP/1.1"]
            fields = {"host": HOST, **(headers or {})}
            if body or method in ("POST", "PUT"):
                fields["content-length"] = str(len(body))
            lines += [f"{name}: {value}" for name, value in fields.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            await receive(reader, answer, on_body)

        await asyncio.wait_for(run(), limit)
    except asyncio.TimeoutError:
        answer.end = "time"
    except (ConnectionResetError, BrokenPipeError):
        answer.end = "reset"
    except (OSError, asyncio.IncompleteReadError, ValueError):
        answer.end = "cut" if answer.status else "none"
    finally:
        if writer:
            writer.close()
    return answer


def reset(writer):
    """Closes a connection with a reset."""
    raw = writer.get_extra_info("socket")
    if raw is not None:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Request:
    """A request that reached a worker."""

    def __init__(self, line, headers, body):
        self.method, self.path, _ = line.split(" ", 2)
        self.headers, self.body, self.at = headers, body, time.monotonic()
        self.id = headers.get("attempt-id", "")


class Worker:
    """One start of a worker. `handle(worker, request, writer)` runs a request; it returns whether
    the connection is kept. The worker announces itself until it is stopped."""

    def __init__(self, site, id, service, handle, slots=8, models=None, zone=ZONES[0], ip="127.0.0.1"):
        self.site, self.id, self.service, self.handle = site, id, service, handle
        self.slots, self.models, self.zone, self.ip = slots, models or {}, zone, ip
        self.port, self.state, self.seq, self.orders = 0, "ready", 0, 0
        self.born = int(time.time() * 1000)
        self.runs, self.server, self.beating, self.writers = [], None, None, set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, self.ip, port, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]
        self.beating = asyncio.ensure_future(self.beat())
        return self

    def described(self):
        models = [{"name": n, "version": v, "adapters": []} for n, v in self.models.items()]
        return {
            "service": self.service, "address": f"{self.ip}:{self.port}", "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": self.state, "cold_left_ms": 0,
            "stage": "both", "models": models, "seq": self.seq, "born": self.born,
        }

    async def announce(self, limit=1.0):
        """Sends one heartbeat, to the next node where one gives no answer within a second."""
        self.seq += 1
        body = json.dumps(self.described()).encode()
        for control in self.site.controls_in_turn():
            headers = {"content-type": "application/json"}
            answer = await call(control, "PUT", f"/instances/{self.id}", headers, body, limit)
            if 200 <= answer.status < 300:
                return True
        return False

    async def beat(self):
        while True:
            await self.announce()
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    def silence(self):
        """Stops the heartbeats."""
        if self.beating:
            self.beating.cancel()
            self.beating = None

    async def stop(self):
        """Ends the process: its connections close."""
        self.silence()
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.close()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                request = Request(line, headers, body)
                if not await self.answer(request, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        except asyncio.CancelledError:
            pass
        except Exception:
            traceback.print_exc()
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request, writer):
        expected = request.headers.get("expect-instance")
        if expected and expected != self.id:
            return await reply(writer, 421, {"instance-id": self.id, "attempt-id": request.id})
        if request.path == "/health":
            return await reply(writer, 200, {"instance-id": self.id})
        if request.path == "/report":
            return await self.report(writer)
        if request.path == "/order":
            return await self.order(request, writer)
        return await self.handle(self, request, writer)

    async def report(self, writer):
        models = [{"name": n, "version": v, "adapters": []} for n, v in self.models.items()]
        body = {"stage": "both", "models": models, "busy": False, "seq": self.orders, "queued": 0,
                "running": 0, "kv_used": 0, "kv_total": 69123, "handles": 0}
        return await reply(writer, 200, {"content-type": "application/json"},
                           json.dumps(body).encode())

    async def order(self, request, writer):
        order = json.loads(request.body)
        if order.get("op") == "version" and order["model"] in self.models:
            self.orders += 1
            self.models[order["model"]] = order["version"]
            return await reply(writer, 202, {})
        return await reply(writer, 400, {})


async def reply(writer, status, headers, body=b""):
    fields = {"content-length": str(len(body)), **headers}
    head = f"HTTP/1.1 {status} Status\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    writer.write(head.encode() + b"\r\n" + body)
    await writer.drain()
    return True


def seal(request, worker):
    return f"seal.{worker.id}.{request.id}"


class Site:
    """A deployment of processes, with its platform."""

    def __init__(self, record, stores=3, entries=2, fenced=True):
        if not os.path.exists(PROGRAM):
            raise CannotRun("the program is not built")
        self.record, self.fenced = record, fenced
        self.folder = tempfile.mkdtemp(prefix="catkinlatch-review-")
        net = random.randrange(1, 250)
        low = random.randrange(1, 200)
        self.ips = [f"127.{net}.{low}.{n + 1}" for n in range(stores + entries)]
        port = lambda: free_port(self.ips[0])
        self.ports = dict(front=port(), ready=port(), control=port(), directory=port(),
                          peers=port(), metrics=port())
        self.names = [f"store-{ZONES[n % 3]}-{n}" for n in range(stores)]
        self.names += [f"front-{ZONES[n % 3]}-{n}" for n in range(entries)]
        self.stores, self.processes, self.reports = stores, {}, []
        self.turn, self.platform = 0, None

    @property
    def controls(self):
        return [(ip, self.ports["control"]) for ip in self.ips[: self.stores]]

    @property
    def fronts(self):
        return [(ip, self.ports["front"]) for ip in self.ips[self.stores:]]

    def controls_in_turn(self):
        self.turn += 1
        controls = self.controls
        return [controls[(self.turn + n) % len(controls)] for n in range(len(controls))]

    def settings(self, number, is_first):
        ip, ports = self.ips[number], self.ports
        is_store = number < self.stores
        at = lambda name: f"{ip}:{ports[name]}"
        settings = {
            "name": self.names[number], "host": ip, "zone": ZONES[number % 3], "region": "wessex",
            "peer_port": ports["peers"],
            "seeds": [f"{a}:{p}" for a, p in self.controls][:3],
            "is_first_start": is_first, "losses": 1,
            "platform_address": self.platform_address,
            "times": {
                "heartbeat_ms": HEARTBEAT_MS, "drain_ms": 2000, "grace_s": 8, "lease_ms": 3000,
                "checks_fences": self.fenced, "report_window_s": 5, "report_due_s": 10,
                "results_kept_s": 120, "cancel_ms": 3000, "apply_ms": 2000,
                "contact_ms": CONTACT_MS, "ack_ms": 4000, "address_ttl_s": 5,
            },
            "resources": {
                "processor_share": 0.5 if is_store else 0.25,
                "memory_mb": 270 if is_store else 260,
                "descriptors": 8200 if is_store else 4100,
            },
            "zones": {zone: "wessex" for zone in ZONES},
        }
        if is_store:
            settings["control_address"] = at("control")
            settings["data_folder"] = os.path.join(self.folder, self.names[number])
        else:
            settings["callers_address"] = at("front")
            settings["ready_address"] = at("ready")
            settings["directory_address"] = at("directory")
        return settings

    def start_host(self, number, is_first=False):
        path = os.path.join(self.folder, f"{self.names[number]}.jsonc")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.settings(number, is_first), file)
        log = open(os.path.join(self.folder, f"{self.names[number]}.log"), "ab")
        self.processes[number] = subprocess.Popen(
            [PROGRAM, "host", "--settings", path], cwd=ROOT, stdout=log, stderr=log,
            stdin=subprocess.DEVNULL)
        self.record.line(f"host {self.names[number]} started at {self.ips[number]}")

    def signal_host(self, number, name):
        self.record.line(f"host {self.names[number]} gets {name}")
        self.processes[number].send_signal(getattr(signal, name))

    def log(self, number):
        path = os.path.join(self.folder, f"{self.names[number]}.log")
        with open(path, encoding="utf-8", errors="replace") as file:
            return file.read()

    async def start(self, configuration):
        self.platform = await asyncio.start_server(self.serve_platform, "127.0.0.1", 0)
        self.platform_address = "127.0.0.1:%d" % self.platform.sockets[0].getsockname()[1]
        for number in range(len(self.ips)):
            self.start_host(number, is_first=True)
        await self.configure(configuration, 30.0)

    async def serve_platform(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                self.reports.append((time.monotonic(), line, headers, body))
                await reply(writer, 200, {})
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def control(self, method, path, body=b"", limit=15.0):
        """Sends an operator's call to the nodes in turn until one acknowledges it."""
        until = time.monotonic() + limit
        while time.monotonic() < until:
            for control in self.controls_in_turn():
                headers = {"content-type": "application/json"}
                answer = await call(control, method, path, headers, body, 2.0)
                if 200 <= answer.status < 300:
                    return answer
            await asyncio.sleep(0.1)
        raise CannotRun(f"{method} {path} was not acknowledged")

    async def configure(self, configuration, limit=15.0):
        await self.control("PUT", "/config", json.dumps(configuration).encode(), limit)
        self.record.line(f"configuration {configuration['version']} is acknowledged")

    async def until(self, what, check, limit=20.0):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            if await check():
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"not reached: {what}")

    def leader(self):
        """Returns the store that leads by its own log, or nothing."""
        best = None
        for number in range(self.stores):
            for line in self.log(number).splitlines():
                if "took over the duties" in line or "took over" in line:
                    best = max(best or ("", 0), (line[:40], number))
        return best[1] if best else None

    async def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        if self.platform:
            self.platform.close()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(self.folder)


def configuration(version, routes, services):
    return {
        "version": version, "routes": routes, "services": services,
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 33554432,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
    }


def service(name, **more):
    return {"name": name, "health_path": "/health", "max_conns": 130, "protocol": "h1",
            "tls": False, **more}


ENGINE = {"slots": 8, "kv_tokens": 69123, "kv_bytes": 18432, "link_mbps": 2200000.0, "moves": True,
          "backups": True, "stride": 46, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0,
          "handle_s": 5.0, "models": [{"name": "daka510000"}]}


def route(name, prefix, kind, service, **more):
    return {"name": name, "host": HOST, "path_prefix": prefix, "kind": kind, "timeout_ms": 2000,
            "target_latency_ms": 400, "priority": 2, "service": service, "max_attempts": 3,
            "public": False, **more}


def new_id():
    return f"{random.getrandbits(64):016x}"


def caller(id, deadline_ms=2000, **more):
    return {"attempt-id": id, "deadline-ms": str(deadline_ms), "x-api-key": KEY, **more}


def main(folder, case, limit=115.0):
    """Runs a case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    record = Record(folder)

    async def run():
        site = Site(record)
        try:
            return await asyncio.wait_for(case(site, record), limit)
        finally:
            await site.stop()

    try:
        broken = asyncio.run(run())
    except CannotRun as error:
        record.line(f"CANNOT RUN: {error}")
        print(f"cannot run: {error}")
        sys.exit(2)
    except Exception as error:
        record.line(f"CANNOT RUN: {error!r}")
        traceback.print_exc()
        sys.exit(2)
    record.line("RULE BROKEN: " + "; ".join(broken) if broken else "RULE HELD")
    print("broken: " + "; ".join(broken[:3]) if broken else "held")
    sys.exit(1 if broken else 0)
