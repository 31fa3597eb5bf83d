"""Forwards the requests of entries to the platform stand-in and counts them by kind."""
import collections
import http.client
import http.server
import threading


class CountingProxy:
    """HTTP proxy on loopback in front of one server."""

    def __init__(self, target):
        self.target = target
        self.counts = collections.Counter()
        self.lock = threading.Lock()
        proxy = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_POST(self):
                proxy.forward(self)

            def log_message(self, *_):
                pass

        self.server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.server.daemon_threads = True
        self.address = f"127.0.0.1:{self.server.server_address[1]}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def forward(self, handler):
        body = handler.rfile.read(int(handler.headers.get("Content-Length", 0)))
        connection = http.client.HTTPConnection(self.target, timeout=10)
        try:
            connection.request("POST", handler.path, body, {"Content-Type": "application/json"})
            response = connection.getresponse()
            answer = response.read()
        except OSError:  # the stand-in has exited, as at the end of a measurement
            handler.close_connection = True
            return
        finally:
            connection.close()
        with self.lock:
            self.counts[handler.path.rsplit("/", 1)[1]] += 1
        handler.send_response(response.status)
        handler.send_header("Content-Type", "application/json")
        handler.send_header("Content-Length", str(len(answer)))
        handler.end_headers()
        handler.wfile.write(answer)

    def snapshot(self):
        with self.lock:
            return collections.Counter(self.counts)

    def stop(self):
        self.server.shutdown()
        self.server.server_close()
