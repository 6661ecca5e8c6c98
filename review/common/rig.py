"""Small stand-ins for the tests in review/: discovery agent, hosts, clients, and a handle on a relay process.

Everything runs on 127.0.0.1 with free ports and in a temporary folder. All that is sent, answered and run is
written to record.txt. Times are seconds since the start of the test (monotonic clock).
"""
import asyncio
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
START = time.monotonic()


def now():
    return time.monotonic() - START


class CannotRun(Exception):
    """The test could not be played: exit status 2."""


class Record:
    def __init__(self, path):
        self.file = open(path, "w")

    def __call__(self, text):
        self.file.write("%9.4f %s\n" % (now(), text))

    def close(self):
        self.file.close()


def deploy_command(key):
    with open(os.path.join(ROOT, "deploy", "balancer.toml")) as file:
        found = re.search(r'^%s = "(.*?)"' % key, file.read(), re.M)
    if not found:
        raise CannotRun("deploy/balancer.toml has no " + key)
    return found.group(1)


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


def base_settings(**changes):
    """Settings of a small deployment, modelled on the example in WIRE-umberhoist.md."""
    settings = {
        "azs": ["building-a", "building-b"],
        "me": 0,
        "siblings": 2,
        "zone": 0,
        "tier": 0,
        "stages": ["partners"],
        "kinds": ["major-partner", "merchant", "small-shop"],
        "workload": "deliver",
        "value_by": "request",
        "weights": "nominal",
        "discovery": "push",
        "resolution_s": 0.005,
        "over_share_worth": 0.1,
        "realms": [],
        "bounds": {
            "cancel": True,
            "conn_idle_s": 10.0,
            "connect_timeout_s": 1.0,
            "cpu_us_per_request": 0.0,
            "cpu_us_per_s": 400000,
            "max_attempts": 6,
            "max_retry_after_s": 2.0,
            "may_duplicate": False,
            "may_probe": True,
            "open_cap": 359,
            "peers": False,
            "retry_after": True,
            "streams_per_conn": 8,
        },
        "categories": [
            {"name": "order-update", "semantics": "keyed", "key_scope": "all", "key_ttl_s": 15.0, "target_s": 2.0,
             "give_up_s": 16.0, "worth": 2.0, "late_worth": 0.3, "stream": False},
            {"name": "payment-notice", "semantics": "unsafe", "key_scope": "all", "key_ttl_s": 5.0, "target_s": 4.0,
             "give_up_s": 20.0, "worth": 1.0, "late_worth": 0.3, "stream": False},
        ],
        "client_habits": {"marks_retry": False},
        "family_info": {"calls_out": 20, "kind_apart": [False, False, False], "kind_batch": [1, 1, 1],
                        "late": "halves", "refused_price": 0.0, "zone_fee": [0.0, 0.0]},
        "goal": {"whole": 0.5, "worst_class": 0.2, "worst_tenant": 0.0, "worst_window": 0.3},
        "obligations": {"answer_slack_s": 0.02, "ask_every_s": 10.0, "cold_s": 12.0, "fall_multiple": 2.0,
                        "fall_s": 3.0, "start_capacity": 0.21, "stop_sending_within_s": 1.0},
        "prices": {"connection": 0.0, "cross_zone": 0.03, "discovery": 0.0, "handshake": 0.04, "late_fail": 0.03,
                   "probe": 0.01, "waste": 0.03},
        "telemetry": {"fields": [], "how": "silent"},
    }
    for path, value in changes.items():
        *parents, last = path.split("__")
        target = settings
        for parent in parents:
            target = target[parent]
        target[last] = value
    return settings


def member(id, port, cell, phase="active", flavor="merchant", size=1.0, locality="building-a"):
    return {"id": id, "host_port": "127.0.0.1:%d" % port, "locality": locality, "flavor": flavor, "cell": cell,
            "phase": phase, "size": size, "up_since_ms": 0}


async def read_http(reader):
    """Returns (first line, headers, body), or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    length = int(headers.get("content-length", "0"))
    if length:
        try:
            body = await reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            return None
    return lines[0], headers, body


class Agent:
    """Discovery agent of one relay: the list, the watch, and the notices."""

    def __init__(self, record, members, revision=41):
        self.record = record
        self.revision = revision
        self.members = {m["id"]: dict(m) for m in members}
        self.changed = {m["id"]: revision for m in members}
        self.watches = []
        self.notices = {}  # id -> list of (time, state)
        self.on_notice = None
        self.silent = False  # discovery is down: connections come up and requests for lists get no answer

    def set_silent(self, silent):
        self.record("discovery is " + ("down" if silent else "back"))
        self.silent = silent

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.beat = asyncio.ensure_future(self.heartbeat())

    def address(self):
        return "127.0.0.1:%d" % self.port

    def whole_list(self):
        return {"revision": self.revision, "complete": True,
                "members": [m for m in self.members.values() if m["phase"] != "left"]}

    def changes_since(self, revision):
        return {"revision": self.revision, "complete": False,
                "members": [m for id, m in self.members.items() if self.changed[id] > revision]}

    def change(self, *members):
        """A new revision with these entries, written to every open watch."""
        self.revision += 1
        for m in members:
            self.members[m["id"]] = dict(m)
            self.changed[m["id"]] = self.revision
        self.record("discovery revision %d: %s" % (
            self.revision, ", ".join("%s %s cell %d at %s" % (m["id"], m["phase"], m["cell"], m["host_port"])
                                     for m in members)))
        line = {"revision": self.revision, "complete": False, "members": [dict(m) for m in members]}
        for writer in list(self.watches):
            self.write_line(writer, json.dumps(line))

    def write_line(self, writer, text):
        data = (text + "\n").encode()
        try:
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
        except (ConnectionError, OSError):
            self.watches.remove(writer)

    async def heartbeat(self):
        while True:
            await asyncio.sleep(2)
            if self.silent:
                continue
            for writer in list(self.watches):
                self.write_line(writer, "")

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_http(reader)
                if request is None:
                    return
                line, headers, body = request
                method, target, _ = line.split(" ", 2)
                if method == "POST" and target == "/v2/finals":
                    for text in body.decode().splitlines():
                        notice = json.loads(text)
                        self.notices.setdefault(notice["id"], []).append((now(), notice))
                        self.record("notice %s" % text)
                        if self.on_notice:
                            self.on_notice(notice)
                    writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
                    await writer.drain()
                    if headers.get("connection", "").lower() == "close":
                        return
                elif self.silent:
                    self.record("no answer to %s" % line)
                    await reader.read()
                    return
                elif target.startswith("/api/targets?"):
                    index = int(re.search(r"index=(-?\d+)", target).group(1))
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                                 b"Transfer-Encoding: chunked\r\n\r\n")
                    self.record("watch opened, index %d, list is at %d" % (index, self.revision))
                    if index < self.revision:
                        self.write_line(writer, json.dumps(self.changes_since(index)))
                    else:
                        self.write_line(writer, "")
                    self.watches.append(writer)
                    await reader.read()
                    return
                else:
                    text = json.dumps(self.whole_list()).encode()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text))
        finally:
            if writer in self.watches:
                self.watches.remove(writer)
            writer.close()


class Host:
    """One endpoint. `decide(host, call_id, key, body)` is a coroutine that returns (status, extra headers, close)
    or None to say nothing until the caller is gone; `probe(host)` does the same for a probe."""

    def __init__(self, record, name, cell, decide, probe=None, port=0):
        self.record, self.name, self.cell, self.decide, self.probe = record, name, cell, decide, probe
        self.port = port
        self.calls = []  # (time, call id, relay's port)
        self.open = set()
        self.on_given_up = None
        self.probes = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def say_nothing(self, reader, what):
        """No answer; returns once the caller has given up by closing its connection."""
        await reader.read()
        self.record("%s %s was given up without an answer" % (self.name, what))
        if self.on_given_up:
            self.on_given_up()

    async def serve(self, reader, writer):
        self.open.add(writer)
        try:
            await self.serve_calls(reader, writer)
        finally:
            self.open.discard(writer)

    async def serve_calls(self, reader, writer):
        peer = writer.get_extra_info("peername")[1]
        try:
            while True:
                request = await read_http(reader)
                if request is None:
                    return
                line, headers, body = request
                if line.startswith("GET /-/healthy"):
                    self.probes.append((now(), peer))
                    self.record("%s probe from %d" % (self.name, peer))
                    decision = await self.probe(self) if self.probe else (200, {}, False)
                    if decision is None:
                        return await self.say_nothing(reader, "probe")
                    status, extra, close = decision
                    self.record("%s probe from %d -> %d" % (self.name, peer, status))
                elif line.startswith("POST /events "):
                    call = headers.get("x-call-id", "")
                    self.calls.append((now(), call, peer))
                    self.record("%s call %s from %d" % (self.name, call, peer))
                    decision = await self.decide(self, call, headers.get("idempotency-key", ""), body)
                    if decision is None:
                        return await self.say_nothing(reader, "call " + call)
                    status, extra, close = decision
                    self.record("%s call %s -> %d%s%s" % (self.name, call, status, " " + str(extra) if extra else "",
                                                          " and close" if close else ""))
                else:
                    status, extra, close = 404, {}, False
                reason = {200: "OK", 404: "Not Found", 429: "Too Many Requests", 500: "Internal Server Error",
                          503: "Service Unavailable"}.get(status, "Other")
                head = "HTTP/1.1 %d %s\r\nContent-Length: 0\r\n" % (status, reason)
                for name, value in extra.items():
                    head += "%s: %s\r\n" % (name, value)
                if close:
                    head += "Connection: close\r\n"
                writer.write((head + "\r\n").encode())
                await writer.drain()
                if close or headers.get("connection", "").lower() == "close":
                    return
        except (ConnectionError, OSError):
            return
        finally:
            writer.close()


class Client:
    """Hands messages in to one relay, over connections that are kept and opened as needed."""

    def __init__(self, record, address):
        self.record, self.address, self.idle = record, address, []

    async def command(self, *words):
        data = b"*%d\r\n" % len(words)
        for word in words:
            word = word if isinstance(word, bytes) else word.encode()
            data += b"$%d\r\n%s\r\n" % (len(word), word)
        for attempt in range(2):
            reused = bool(self.idle)
            if reused:
                reader, writer = self.idle.pop()
            else:
                reader, writer = await asyncio.open_connection(*self.address)
            try:
                writer.write(data)
                line = await asyncio.wait_for(reader.readline(), 0.4)
            except asyncio.TimeoutError:
                writer.close()
                return None
            except (ConnectionError, OSError):
                line = b""
            if line:
                self.idle.append((reader, writer))
                return line.decode().strip()
            writer.close()
            if not reused:
                return ""
        return ""

    async def put(self, id, message_class, lifetime_ms, destination, key="", body=b"x" * 100, again=False):
        """Returns the reply; None after 400 ms without one; "" if the connection ended without one."""
        fields = "c=%s,d=%d,dest=%d" % (message_class, lifetime_ms, destination)
        if key:
            fields += ",k=" + key
        if again:
            fields += ",again=1"
        self.record("client hands in %s %s" % (id, fields))
        try:
            reply = await self.command("MSG.PUT", "0000000000000000", id, fields, body)
        except OSError as error:
            self.record("client could not hand in %s: %s" % (id, error))
            return ""
        self.record("client got for %s: %s" % (id, reply))
        return reply


class Relay:
    def __init__(self, record, folder, name, agent, known, settings, disk_mb=3, sockets=1024):
        self.record, self.name, self.process = record, name, None
        self.folder = os.path.join(folder, name)
        self.state = os.path.join(self.folder, "state")
        os.makedirs(self.state, exist_ok=True)
        os.makedirs(os.path.join(self.folder, "tmp"), exist_ok=True)
        self.port = free_port()
        self.agent = agent
        self.starts = 0
        self.config = {"name": name, "listen": "127.0.0.1:%d" % self.port, "discovery": agent.address(), "seed": "1",
                       "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets, "disk_mb": disk_mb},
                       "known": known, "settings": settings}

    def write_config(self):
        path = os.path.join(self.folder, "config.json")
        with open(path + ".new", "w") as file:
            json.dump(self.config, file)
        os.rename(path + ".new", path)
        return path

    async def start(self):
        self.starts += 1
        self.config["seed"] = "%016x" % (0x8c1f30d27a5be964 + self.starts * 7919)
        path = self.write_config()
        env = dict(os.environ, PROXY_NAME=self.name, PROXY_LISTEN=self.config["listen"],
                   PROXY_DISCOVERY=self.config["discovery"], PROXY_STATE=self.state, PROXY_CONFIG=path,
                   TMPDIR=os.path.join(self.folder, "tmp"))
        self.log = open(os.path.join(self.folder, "log"), "a")
        self.process = subprocess.Popen(["/bin/sh", "-c", deploy_command("run")], cwd=ROOT, env=env,
                                        stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log)
        self.record("relay %s started, pid %d" % (self.name, self.process.pid))
        deadline = now() + 10
        while now() < deadline:
            if self.process.poll() is not None:
                raise CannotRun("relay %s ended at its start with %s" % (self.name, self.process.returncode))
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"*1\r\n$4\r\nPING\r\n")
                line = await asyncio.wait_for(reader.readline(), 1)
                writer.close()
                if line == b"+PONG\r\n":
                    self.record("relay %s is ready" % self.name)
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.02)
        raise CannotRun("relay %s was not ready within 10 s" % self.name)

    def signal(self, number):
        self.record("relay %s gets %s" % (self.name, signal.Signals(number).name))
        self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        await asyncio.get_running_loop().run_in_executor(None, self.process.wait)

    def crashed(self):
        return self.process is not None and self.process.poll() is not None

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


import logging
logging.disable(logging.CRITICAL)


def play(case_folder, test):
    """Runs `test(record, folder, trouble)`, which returns a list of breaches. Never returns."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(case_folder, "record.txt"))
    folder = tempfile.mkdtemp(prefix="umberhoist-review-")
    relays = []
    status = 2
    try:
        record("TROUBLE=%d" % trouble)
        breaches = asyncio.run(asyncio.wait_for(test(record, folder, trouble, relays), 115))
        for relay in relays:
            if relay.crashed():
                breaches.append("relay %s ended by itself with %s" % (relay.name, relay.process.returncode))
        for line in breaches:
            record("RULE BROKEN: " + line)
            print("RULE BROKEN: " + line)
        if not breaches:
            record("the rule held")
            print("the rule held")
        status = 1 if breaches else 0
    except Exception as error:  # CannotRun, a time-out, or a fault of the test itself
        record("could not run: %r" % error)
        print("could not run: %r" % error)
    finally:
        for relay in relays:
            relay.end()
            log = os.path.join(relay.folder, "log")
            if os.path.exists(log):
                with open(log) as file:
                    for line in file:
                        record.file.write("log of %s: %s" % (relay.name, line))
        record.close()
        shutil.rmtree(folder, ignore_errors=True)
    sys.stdout.flush()
    os._exit(status)
