"""Stand-ins for the platform's store and workers, and a client for callers.

They speak what the programs of platform/ need: rows and their change feed, heartbeats, and orders to
workers. Everything listens on loopback addresses.
"""
import base64
import http.client
import json
import socket
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit


class JsonHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *arguments):
        pass

    def body(self):
        length = int(self.headers.get("Content-Length") or 0)
        return json.loads(self.rfile.read(length) or b"{}")

    def reply(self, status, document=None):
        content = b"" if document is None else json.dumps(document).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(content)))
        self.end_headers()
        self.wfile.write(content)


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        """Programs under test are killed in the middle of calls; anything else is shown."""
        if not isinstance(sys.exc_info()[1], (BrokenPipeError, ConnectionResetError)):
            super().handle_error(request, client_address)


class Store:
    """Rows with versions from one counter, and a feed of changes."""

    def __init__(self, address):
        self.rows, self.version, self.history = {}, 0, []
        self.changed = threading.Condition()
        self.refusing = False
        store = self

        class Handler(JsonHandler):
            def do_GET(self):
                query = parse_qs(urlsplit(self.path).query, keep_blank_values=True)
                if store.refusing:
                    self.reply(503)
                elif self.path.startswith("/api/rows-get"):
                    self.reply(200, store.read(query))
                elif self.path.startswith("/api/rows-feed"):
                    self.reply(200, store.changes(query))
                else:
                    self.reply(404)

            def do_POST(self):
                entries = self.body()
                if store.refusing:
                    self.reply(503)
                    return
                for row in entries.get("upserts", []):
                    store.put(row["table"], row["key"], base64.b64decode(row["value"]).decode())
                self.reply(200, {"schema_version": store.version, "now_ms": 0})

        self.server = Server(address, Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def put(self, table, key, value):
        with self.changed:
            self.version += 1
            row = {"table": table, "part": "", "key": key, "schema_version": self.version,
                   "value": base64.b64encode(value.encode()).decode()}
            self.rows[table, key] = row
            self.history.append(row)
            self.changed.notify_all()

    def remove(self, table, key):
        with self.changed:
            self.version += 1
            self.rows.pop((table, key), None)
            self.history.append({"table": table, "part": "", "key": key, "deleted": True,
                                 "schema_version": self.version})
            self.changed.notify_all()

    def read(self, query):
        table, start = query["table"][0], query.get("from", [""])[0]
        with self.changed:
            rows = [row for (name, key), row in sorted(self.rows.items())
                    if name == table and key >= start]
            return {"rows": rows, "has_more": False, "schema_version": self.version, "now_ms": 0}

    def changes(self, query):
        table, after = query["table"][0], int(query["after"][0])
        end = time.monotonic() + int(query["wait_ms"][0]) / 1000

        def newer():
            return [row for row in self.history
                    if row["table"] == table and row["schema_version"] > after]

        with self.changed:
            while not newer() and time.monotonic() < end and not self.refusing:
                self.changed.wait(0.05)
            return {"rows": newer(), "schema_version": self.version, "now_ms": 0}

    def stop(self):
        self.server.shutdown()


class Worker:
    """Runs tasks by sleeping. `run_ms` is the time of each run; `ends` how the runs end."""

    def __init__(self, address, announce_to, data_centre, cpu=64000):
        self.address, self.announce_to, self.data_centre = address, announce_to, data_centre
        self.cpu, self.run_ms, self.how, self.state = cpu, 60, "done", "ready"
        self.lost_answers = 0
        self.active, self.highest, self.finished = {}, {}, []
        self.started = []  # (time, task, run)
        self.sequence, self.lease, self.token = 0, 0, 0
        self.born = int(time.time() * 1000)
        self.begun = time.monotonic()
        self.changed = threading.Condition()
        self.stopped = False
        worker = self

        class Handler(JsonHandler):
            def do_POST(self):
                body = self.body()
                status, document = worker.handle(self.path, body)
                if status is None:
                    self.close_connection = True
                    self.connection.shutdown(socket.SHUT_RDWR)
                    return
                self.reply(status, document)

        self.server = Server(address, Handler)
        for task in (self.server.serve_forever, self.beat, self.work):
            threading.Thread(target=task, daemon=True).start()

    def clock(self):
        return int((time.monotonic() - self.begun) * 1000)

    def handle(self, path, body):
        with self.changed:
            if body.get("fencing_token", 0) < self.token:
                return 409, {"clock_ms": self.clock(), "reason": "fence"}
            self.token = max(self.token, body.get("fencing_token", 0))
            if path == "/api/run-start":
                return self.start(body)
            if path == "/api/run-stop":
                key = body["task"]
                self.highest[key] = max(self.highest.get(key, 0), body["run"])
                if key in self.active and self.active[key][0] <= body["run"]:
                    self.end(key, "stopped")
                return 200, {"clock_ms": self.clock()}
            self.extend(body)
            end = time.monotonic() + body.get("wait_ms", 0) / 1000
            through = body.get("acked_through", 0)
            while not any(e[0] > through for e in self.finished) and time.monotonic() < end:
                self.changed.wait(0.01)
            return 200, {"clock_ms": self.clock(), "born": self.born,
                         "active": [[k, run, "", self.percent(k)]
                                    for k, (run, _) in self.active.items()],
                         "finished": [e for e in self.finished if e[0] > through]}

    def percent(self, key):
        return min(99, int((time.monotonic() - self.active[key][1]) * 100000 / self.run_ms))

    def start(self, body):
        key, run = body["task"], body["run"]
        if body["expiry_ms"] <= self.clock():
            return 409, {"clock_ms": self.clock(), "reason": "late"}
        self.extend(body)
        if run <= self.highest.get(key, 0):
            return 409, {"clock_ms": self.clock(), "reason": "old"}
        if (len(self.active) + 1) * 6200 > self.cpu:
            return 409, {"clock_ms": self.clock(), "reason": "room"}
        self.active[key] = (run, time.monotonic())
        self.started.append((time.monotonic(), key, run))
        if self.lost_answers > 0:
            self.lost_answers -= 1
            return None, None
        return 200, {"clock_ms": self.clock()}

    def extend(self, body):
        if "expiry_ms" in body:
            self.lease = max(self.lease, min(body["expiry_ms"], self.clock() + 1000))

    def end(self, key, how):
        run, _ = self.active.pop(key)
        self.highest[key] = max(self.highest.get(key, 0), run)
        self.finished.append([len(self.finished) + 1, key, run, how, ""])
        self.changed.notify_all()

    def work(self):
        while not self.stopped:
            with self.changed:
                for key, (_, begun) in list(self.active.items()):
                    if self.clock() > self.lease:
                        self.end(key, "lapsed")
                    elif time.monotonic() - begun > self.run_ms / 1000:
                        self.end(key, self.how)
            time.sleep(0.005)

    def heartbeat(self):
        self.sequence += 1
        return {"service": "adviser", "address": "%s:%d" % self.address, "zone": self.data_centre,
                "version": "v1", "slots": 8, "state": self.state, "cold_remaining_ms": 0,
                "capacity": {"cpu": self.cpu, "mem_mb": 262144, "gpu": 0},
                "labels": ["a", "r1"], "born": self.born, "sequence": self.sequence}

    def beat(self):
        while not self.stopped:
            send(self.announce_to, "POST", "/api/Instances.Heartbeat/i-%d" % self.address[1],
                 self.heartbeat())
            time.sleep(0.3)

    def stop(self):
        self.stopped = True
        self.server.shutdown()
        self.server.server_close()


def send(address, method, path, document=None, headers=None, timeout=10):
    """Status and body; (None, "") if the connection ended without an answer."""
    connection = http.client.HTTPConnection(*address, timeout=timeout)
    try:
        content = document if isinstance(document, (str, bytes)) else json.dumps(document or {})
        connection.request(method, path, content,
                           {"Content-Type": "application/json", **(headers or {})})
        answer = connection.getresponse()
        return answer.status, answer.read().decode(), dict(answer.getheaders())
    except (OSError, http.client.HTTPException):
        return None, "", {}
    finally:
        connection.close()
