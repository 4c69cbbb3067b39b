"""A small deployment of real processes on loopback, with clients, workers and a platform.

Everything listens on loopback addresses. The hosts run the command of deploy/system.toml with
settings as deploy/host.jsonc renders them. Workers, clients and the platform behave as
PROTOCOL.md says, and do nothing else unless a case asks for it.
"""

import base64
import http.client
import http.server
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target", "release", "catkinlatch")
HOST_NAME = "ficu95.example"
KEY = "3fexd9dnn2ctnfzs989a"
TENANT = "hule930"
MODEL = "daka510000"
START = time.monotonic()


def now():
    """Returns the seconds since the script started."""
    return time.monotonic() - START


class Record:
    """The file record.txt: what was sent, answered and run, with times."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.lock = threading.Lock()

    def write(self, text):
        with self.lock:
            self.file.write(f"{now():8.3f} {text}\n")
            self.file.flush()


def is_free(ip, port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((ip, port))
            return True
        except OSError:
            return False


class Site:
    """Stores, entry hosts and the platform. Hosts have an address each and share their ports."""

    def __init__(self, record, stores=3, entries=2, memory_mb=270):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.subnet = 1 + os.getpid() % 200
        self.store_ips = [f"127.77.{self.subnet}.{11 + n}" for n in range(stores)]
        self.entry_ips = [f"127.77.{self.subnet}.{51 + n}" for n in range(entries)]
        ips = self.store_ips + self.entry_ips
        base = next(
            base
            for base in range(21000, 30000, 16)
            if all(is_free(ip, base + n) for ip in ips for n in range(6))
        )
        names = ["front", "ready", "control", "directory", "peers", "metrics"]
        self.ports = {name: base + n for n, name in enumerate(names)}
        self.platform = Platform(f"127.77.{self.subnet}.200", record)
        self.processes = {}
        self.is_first = {ip: True for ip in ips}
        self.memory_mb = memory_mb
        self.workers = []

    def settings(self, ip):
        number = (self.store_ips + self.entry_ips).index(ip)
        zone = "abc"[number % 3]
        is_store = ip in self.store_ips
        kind = "store" if is_store else "front"
        ports = self.ports
        settings = {
            "name": f"{kind}-wessex-{zone}-{number}",
            "host": ip,
            "zone": f"wessex-{zone}",
            "region": "wessex",
            "metrics_address": f"{ip}:{ports['metrics']}",
            "peer_port": ports["peers"],
            "seeds": [f"{store}:{ports['control']}" for store in self.store_ips],
            "is_first_start": self.is_first[ip],
            "losses": 1,
            "platform_address": self.platform.address,
            "times": {
                "heartbeat_ms": 1200,
                "drain_ms": 2000,
                "grace_s": 8,
                "lease_ms": 3000,
                "checks_fences": True,
                "report_window_s": 5,
                "report_due_s": 10,
                "results_kept_s": 120,
                "cancel_ms": 3000,
                "apply_ms": 2000,
                "contact_ms": 3000,
                "ack_ms": 4000,
                "address_ttl_s": 5,
            },
            "resources": {
                "processor_share": 0.5 if is_store else 0.25,
                "memory_mb": self.memory_mb,
                "descriptors": 8200,
            },
            "zones": {f"wessex-{zone}": "wessex" for zone in "abc"},
        }
        if is_store:
            settings["control_address"] = f"{ip}:{ports['control']}"
            settings["data_folder"] = os.path.join(self.folder, ip)
        else:
            settings["callers_address"] = f"{ip}:{ports['front']}"
            settings["ready_address"] = f"{ip}:{ports['ready']}"
            settings["directory_address"] = f"{ip}:{ports['directory']}"
        return settings

    def start(self, ip):
        """Starts the process of a host, with the settings in force at that moment."""
        path = os.path.join(self.folder, f"{ip}.jsonc")
        with open(path, "w") as file:
            json.dump(self.settings(ip), file)
        if ip in self.store_ips:
            os.makedirs(os.path.join(self.folder, ip), exist_ok=True)
        log = open(os.path.join(self.folder, f"{ip}.log"), "a")
        command = [PROGRAM, "host", "--settings", path]
        self.processes[ip] = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log)
        self.is_first[ip] = False
        self.record.write(f"started {ip}")

    def start_all(self):
        for ip in self.store_ips + self.entry_ips:
            self.start(ip)

    def signal(self, ip, number):
        self.record.write(f"{signal.Signals(number).name} to {ip}")
        self.processes[ip].send_signal(number)

    def kill(self, ip):
        self.signal(ip, signal.SIGKILL)
        self.processes[ip].wait()

    def wipe(self, ip):
        """The machine loses its disk: the process is killed and its data folder emptied."""
        self.kill(ip)
        shutil.rmtree(os.path.join(self.folder, ip))
        self.record.write(f"{ip} lost its disk")

    def ended(self):
        """Returns the hosts whose process has ended by itself."""
        return [ip for ip, process in self.processes.items() if process.poll() is not None]

    def peak_mb(self, ip):
        try:
            with open(f"/proc/{self.processes[ip].pid}/status") as status:
                for line in status:
                    if line.startswith("VmHWM"):
                        return int(line.split()[1]) // 1024
        except OSError:
            pass
        return 0

    def log(self, ip):
        with open(os.path.join(self.folder, f"{ip}.log")) as file:
            return file.read()

    def close(self):
        for worker in self.workers:
            worker.close()
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)

    def operator(self, method, path, body=None, limit_s=20.0):
        """Sends an operator's or trainer's call to the stores in turn until one accepts it."""
        end, attempt = now() + limit_s, 0
        while now() < end:
            ip = self.store_ips[attempt % len(self.store_ips)]
            attempt += 1
            status, data, _ = call((ip, self.ports["control"]), method, path, {}, body, 4.0)
            if status is not None and (200 <= status < 300 or 400 <= status < 500):
                self.record.write(f"operator {method} {path} at {ip}: {status}")
                return status, data
            time.sleep(0.1)
        self.record.write(f"operator {method} {path}: no clear answer in {limit_s} s")
        return None, b""

    def client(self, method, path, headers=None, body=None, limit_s=3.0, entry=None, attempt=0):
        """Sends a client's request to an entry host over a new connection."""
        ip = entry or self.entry_ips[attempt % len(self.entry_ips)]
        all_headers = {"Host": HOST_NAME, "X-Api-Key": KEY, **(headers or {})}
        return call((ip, self.ports["front"]), method, path, all_headers, body, limit_s)

    def submit(self, lot, body, path="/pule252/", limit_s=20.0):
        """Hands in a batch job until it is accepted; returns the status of the last attempt."""
        end, attempt, status = now() + limit_s, 0, None
        headers = {"Attempt-Id": lot, "Content-Type": "application/json"}
        while now() < end:
            status, _, _ = self.client("POST", path + lot, headers, body, 8.0, attempt=attempt)
            attempt += 1
            self.record.write(f"job {lot} ({len(body)} bytes) handed in: {status}")
            if status == 202 or (status is not None and 400 <= status < 429):
                return status
            time.sleep(0.3)
        return status


def call(address, method, path, headers, body, limit_s):
    """Returns status, body and headers of the answer; a status of None if there is none."""
    connection = http.client.HTTPConnection(*address, timeout=limit_s)
    try:
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        return response.status, response.read(), dict(response.getheaders())
    except (OSError, http.client.HTTPException):
        return None, b"", {}
    finally:
        connection.close()


class Quiet(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *_):
        pass

    def read_body(self):
        length = self.headers.get("Content-Length")
        if length is not None:
            return self.rfile.read(int(length))
        body = b""
        if "chunked" in self.headers.get("Transfer-Encoding", ""):
            while size := int(self.rfile.readline().split(b";")[0], 16):
                body += self.rfile.read(size)
                self.rfile.readline()
            self.rfile.readline()
        return body

    def answer(self, status, body=b"", headers=None):
        self.send_response_only(status)
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, *_):
        pass


def serve(ip, handler):
    server = Server((ip, 0), handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


class Platform:
    """Takes usage reports; refuses a fencing token lower than one already seen."""

    def __init__(self, ip, record):
        self.reports, self.fence, lock = [], 0, threading.Lock()
        platform = self

        class Handler(Quiet):
            def do_POST(self):
                body = json.loads(self.read_body())
                holder, fence = self.headers["Duty-Holder"], int(self.headers["Fence-Token"])
                with lock:
                    is_old = fence < platform.fence
                    platform.fence = max(platform.fence, fence)
                    if not is_old:
                        platform.reports.append((now(), holder, fence, body))
                self.answer(409 if is_old else 200)

        self.server = serve(ip, Handler)
        self.address = f"{ip}:{self.server.server_address[1]}"


class Worker:
    """A worker that announces itself. `respond` handles a request and returns nothing."""

    def __init__(self, site, number, worker_id, service, slots, models=None, respond=None):
        self.site, self.id, self.service, self.slots = site, worker_id, service, slots
        self.models = dict(models or {})
        self.runs, self.lock = [], threading.Lock()
        self.orders, self.fence = 0, 0
        self.born, self.sequence = int(time.time() * 1000), 0
        self.is_open = True
        worker = self

        class Handler(Quiet):
            def do_GET(self):
                if self.path == "/report":
                    models = [
                        {"name": name, "version": version, "adapters": []}
                        for name, version in worker.models.items()
                    ]
                    report = {"stage": "both", "models": models, "busy": False}
                    report |= {"seq": worker.orders, "queued": 0, "running": 0, "handles": 0}
                    report |= {"kv_used": 0, "kv_total": 69123}
                    return self.answer(200, json.dumps(report).encode())
                if self.path == "/health":
                    return self.answer(200, b"", {"Instance-Id": worker.id})
                self.do_POST()

            def do_POST(self):
                body = self.read_body()
                expected = self.headers.get("Expect-Instance")
                if expected is not None and expected != worker.id:
                    return self.answer(421, b"", {"Instance-Id": worker.id})
                if self.path == "/order":
                    return self.take_order(json.loads(body))
                attempt = self.headers.get("Attempt-Id")
                if attempt is None:
                    return self.answer(400, b"", {"Not-Executed": "1"})
                (respond or type(worker).respond)(worker, self, attempt, body)

            def take_order(self, order):
                with worker.lock:
                    if order["fence"] < worker.fence:
                        return self.answer(412)
                    worker.fence = order["fence"]
                    if worker.models.get(order["model"]) == order["version"]:
                        return self.answer(200)
                    if order.get("expected", worker.orders) != worker.orders:
                        return self.answer(409)
                    worker.orders += 1
                    worker.models[order["model"]] = order["version"]
                self.answer(202)

        self.ip = f"127.77.{site.subnet}.{100 + number}"
        self.zone = "abc"[number % 3]
        self.server = serve(self.ip, Handler)
        self.address = f"{self.ip}:{self.server.server_address[1]}"
        site.workers.append(self)
        threading.Thread(target=self.announce, daemon=True).start()

    def announce(self):
        """Sends heartbeats; the next store is called if one does not answer within a second."""
        store = 0
        while self.is_open:
            self.sequence += 1
            body = {
                "service": self.service,
                "address": self.address,
                "zone": f"wessex-{self.zone}",
                "version": "v1",
                "slots": self.slots,
                "state": "ready",
                "cold_left_ms": 0,
                "stage": "both",
                "models": [
                    {"name": name, "version": version, "adapters": []}
                    for name, version in self.models.items()
                ],
                "seq": self.sequence,
                "born": self.born,
            }
            is_acknowledged = False
            for _ in self.site.store_ips:
                address = (self.site.store_ips[store], self.site.ports["control"])
                data = json.dumps(body)
                headers = {"Content-Type": "application/json"}
                status, _, _ = call(address, "PUT", f"/instances/{self.id}", headers, data, 1.0)
                is_acknowledged = status is not None and 200 <= status < 300
                if is_acknowledged:
                    break
                store = (store + 1) % len(self.site.store_ips)
            time.sleep(1.2 if is_acknowledged else 0.2)

    def begin(self, attempt, detail=""):
        """Records that the worker begins to run a request."""
        with self.lock:
            self.runs.append((now(), attempt, detail))
        self.site.record.write(f"worker {self.id} runs {attempt} {detail}")

    def respond(self, handler, attempt, body):
        """Answers a plain request."""
        self.begin(attempt)
        headers = {"Attempt-Id": attempt, "Server-Seal": f"{attempt}.{self.id}"}
        handler.answer(200, b"done", headers)

    def close(self):
        self.is_open = False
        self.server.shutdown()
        self.server.server_close()


def stream_events(events, pause_s):
    """Returns a responder that streams `events` events, from the one after Last-Event-Id on."""

    def respond(worker, handler, attempt, body):
        last = int(handler.headers.get("Last-Event-Id", "0"))
        worker.begin(attempt, f"after event {last}")
        head = {
            "Content-Type": "text/event-stream",
            "Attempt-Id": attempt,
            "Server-Seal": f"{attempt}.{worker.id}",
            "Weight-Versions": str(worker.models.get(MODEL, 1)),
            "Transfer-Encoding": "chunked",
        }
        handler.send_response_only(200)
        for name, value in head.items():
            handler.send_header(name, value)
        handler.end_headers()
        for number in range(last + 1, events + 1):
            time.sleep(pause_s)
            write_event(handler, number, f"{attempt}-{number}")
        handler.wfile.write(b"0\r\n\r\n")
        handler.wfile.flush()

    return respond


def write_event(handler, number, data):
    event = f"id: {number}\ndata: {data}\n\n".encode()
    handler.wfile.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
    handler.wfile.flush()


def configuration(version, routes=(), **limits):
    """A configuration as in PROTOCOL.md: rewards, rollouts, and further routes."""
    rewards = {
        "name": "r-rewards",
        "host": HOST_NAME,
        "path_prefix": "/pufi791/",
        "kind": "idempotent",
        "timeout_ms": 2000,
        "target_latency_ms": 400,
        "priority": 2,
        "service": "wuno96b",
        "max_attempts": 4,
        "public": True,
    }
    rollouts = {
        "name": "r-rollouts",
        "host": HOST_NAME,
        "path_prefix": "/pule252/",
        "kind": "rollout",
        "timeout_ms": 10000,
        "target_latency_ms": 400,
        "due_ms": 7500,
        "priority": 1,
        "service": "huvo11a",
        "max_attempts": 3,
        "public": False,
        "resumable": True,
        "sticky": True,
    }
    engine = {"slots": 8, "kv_tokens": 69123, "kv_bytes": 18432, "models": [{"name": MODEL}]}
    services = [
        {"name": "huvo11a", "health_path": "/health", "max_conns": 130, "engine": engine},
        {"name": "wuno96b", "health_path": "/health", "max_conns": 96},
    ]
    bounds = {
        "max_header_bytes": 16384,
        "max_body_bytes": 33554432,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    }
    tenants = [{"name": TENANT, "api_keys": [KEY], "priority": 1}]
    return json.dumps(
        {
            "version": version,
            "routes": [rewards, rollouts, *routes],
            "services": services,
            "limits": bounds | limits,
            "tenants": tenants,
        }
    )


def job(lot, items, item_bytes=600, step=0):
    """The body of a batch job whose items have bodies of this size."""
    body = base64.b64encode(os.urandom(item_bytes)).decode()
    entries = []
    for number in range(items):
        item = f"{lot}i{number:04x}"
        scorer = {"id": f"{lot}s{number:04x}", "host": HOST_NAME, "path": "/pufi791/5e07"}
        entries.append(
            {
                "id": item,
                "path": f"/pule252/{lot}/{number}",
                "headers": {"Model": MODEL, "Token-Count": "540,400"},
                "body": body,
                "tokens": 940,
                "group": f"g{lot}{number // 4}",
                "scorer": scorer | {"body": base64.b64encode(b"score").decode()},
            }
        )
    return json.dumps(
        {
            "step": step,
            "model": MODEL,
            "min_version": 1,
            "group_count": max(1, items // 4),
            "items": entries,
        }
    ).encode()


def main(case, folder):
    """Runs a case and ends with its exit code: 1 if the rule broke, 0 if it held, 2 otherwise."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"trouble: {trouble}")
    code = 2
    site = None
    try:
        if not os.path.exists(PROGRAM):
            raise RuntimeError("the program is not built")
        site = Site(record, **getattr(case, "shape", {}))
        code = case(site, record, trouble)
    except Exception as error:  # The case could not run.
        record.write(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
    finally:
        if site is not None:
            site.close()
    record.write(f"exit {code}")
    print({0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[code])
    sys.stdout.flush()
    os._exit(code)
