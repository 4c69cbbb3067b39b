"""An entry host is stopped as planned, while clients still use the address that they were given."""

import json
import os
import signal
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from deployment import (  # noqa: E402
    HOST_NAME, MODEL, Worker, call, configuration, main, now, stream_events,
)

GRACE_S = 8.0
EVENTS, PAUSE_S = 25, 0.12  # a request of 3 s
CACHE_TTLS = 3  # some clients keep an answer of the directory three times as long as it says
FIRST_S, LAST_S, STEP_S = 3.2, 5.6, 0.2  # when requests are sent after the SIGTERM

STREAMS = {
    "name": "r-streams",
    "host": HOST_NAME,
    "path_prefix": "/stream7/",
    "kind": "stream",
    "timeout_ms": 10000,
    "target_latency_ms": 500,
    "priority": 1,
    "service": "huvo11a",
    "max_attempts": 3,
    "public": False,
    "resumable": False,
    "sticky": True,
}


def resolve(site):
    """Asks the directory for addresses; returns those of entry hosts and their time to live."""
    query = f"/resolve?name={HOST_NAME}&region=wessex&zone=wessex-a"
    for ip in site.entry_ips:
        address = (ip, site.ports["directory"])
        status, body, _ = call(address, "GET", query, {"Host": HOST_NAME}, None, 1.0)
        if status == 200:
            answer = json.loads(body)
            return answer["addresses"], answer["ttl_s"]
    return [], 0.0


def case(site, record, trouble):
    site.start_all()
    status, _ = site.operator("PUT", "/config", configuration(1, [STREAMS]))
    if status != 200:
        raise RuntimeError("the configuration was not accepted")
    workers = [
        Worker(site, number, f"i-engine{number}", "huvo11a", 8, {MODEL: 1},
               stream_events(EVENTS, PAUSE_S))
        for number in range(3)
    ]
    time.sleep(5)
    stopped = site.entry_ips[0]
    addresses, ttl_s = resolve(site)
    resolved = now()
    record.write(f"directory: {addresses} for {ttl_s} s")
    if not any(address.startswith(stopped + ":") for address in addresses):
        raise RuntimeError("the directory does not name the host that is to be stopped")
    began = now()
    if trouble:
        site.signal(stopped, signal.SIGTERM)
    answers, threads, number = {}, [], 0
    at = FIRST_S
    while at <= LAST_S:
        time.sleep(max(0.0, began + at - now()))
        if now() > resolved + CACHE_TTLS * ttl_s:
            break  # From now on no client uses the answer any more.
        attempt = f"9c41d07be2a35f{number:02x}"
        thread = threading.Thread(target=send, args=(site, record, stopped, attempt, answers))
        thread.start()
        threads.append(thread)
        number, at = number + 1, at + STEP_S
    if trouble:
        while now() < began + GRACE_S and site.processes[stopped].poll() is None:
            time.sleep(0.01)
        is_over = site.processes[stopped].poll() is not None
        record.write(f"{now() - began:.2f} s after the SIGTERM: ended by itself: {is_over}")
        if not is_over:
            site.kill(stopped)
        site.start(stopped)
    for thread in threads:
        thread.join()
    reached = {attempt for worker in workers for _, attempt, _ in worker.runs}
    cut = sorted(a for a, is_whole in answers.items() if not is_whole and a in reached)
    record.write(f"{len(answers)} requests read, {len(cut)} passed on and cut: {cut}")
    if len(answers) < 5:
        raise RuntimeError("too few requests were read")
    return 1 if cut else 0


def send(site, record, entry, attempt, answers):
    """Sends one request over a new connection, and reads the answer to its end."""
    headers = {"Model": MODEL, "Token-Count": "540,400", "Deadline-Ms": "12000"}
    record.write(f"client sends {attempt} to {entry}")
    status, body, _ = site.client(
        "POST", "/stream7/2f", headers | {"Attempt-Id": attempt}, b"prompt", 13.0, entry=entry
    )
    events = body.decode().count("id: ")
    # A refusal is an answer; without a status, the connection ended or was never accepted.
    is_whole = status == 200 and events == EVENTS or status in (429, 503)
    record.write(f"client of {attempt}: status {status}, {events} events, whole: {is_whole}")
    answers[attempt] = is_whole


main(case, FOLDER)
