"""Changes the configuration again and again while processes are restarted and the store fails.

Callers on open connections probe routes that only some versions have. A change has to be in force at
every entry within the target after its acknowledgement, and must not revert within the life of a
process. Seeds: CAROBFALL_SEED is the first one, CAROBFALL_SOAK_RUNS their number.
"""
import http.client
import os
import random
import signal
import subprocess
import threading
import time
import unittest

from platform_case import HOST, PlatformCase, configuration
from peers import Server, Store

SEED = int(os.environ.get("CAROBFALL_SEED", "36"))
RUNS = int(os.environ.get("CAROBFALL_SOAK_RUNS", "2"))
SECONDS = 20
APPLY = 3.0  # target for a confirmed change, in seconds
ROLLBACK_SLACK = 0.25
CONTACT = 4.0  # a process or store counts again this long after a fault, in seconds
LARGE = 1400  # further routes of a large configuration


class TwoDoorStore(Store):
    """Store with a second address, which may be refused separately."""

    def __init__(self, address):
        super().__init__(address)
        self.second_refuses = False
        store = self

        class SecondHandler(self.server.RequestHandlerClass):
            def do_GET(self):
                self.reply(503) if store.second_refuses else super().do_GET()

            def do_POST(self):
                self.reply(503) if store.second_refuses else super().do_POST()

        self.second = Server(("127.0.0.1", 0), SecondHandler)
        threading.Thread(target=self.second.serve_forever, daemon=True).start()

    def stop(self):
        self.second.shutdown()
        super().stop()


class ConfigurationSoak(PlatformCase):
    store_type = TwoDoorStore

    def prepare(self):
        for name in self.settings:
            if self.choice.random() < 0.5 and name != "entry-0":
                self.settings[name]["platform"]["address"] = \
                    "127.0.0.1:%d" % self.store.second.server_address[1]

    def begin(self, seed):
        self.choice = random.Random(seed)
        large = seed % 10 == 0
        self.entry_count = 8 if large else self.choice.randint(2, 4)
        self.agent_count = 30 if large else self.choice.randint(3, 8)
        super().setUp()
        self.begun = time.monotonic()
        self.end = self.begun + SECONDS
        self.acknowledged = {}  # time by version
        self.store_faulty_until = 0.0
        self.calm_since = {name: time.monotonic() for name in self.processes}
        self.busy = {name: threading.Lock() for name in self.processes}
        self.latest = 10  # latest version that may be in force
        self.violations, self.probes = [], 0

    # ------------------------------------------------------------------ operator

    def change_configurations(self):
        """Version V has the routes /vV/ and /v(V-1)/."""
        further = []
        while time.monotonic() < self.end:
            version = self.latest = self.latest + 1
            if self.choice.random() < 0.3:
                further = ["/further%d/" % i for i in range(self.choice.choice((0, LARGE)))]
            self.store.put("op", "config", configuration(
                version, ["/check/", "/v%d/" % version, "/v%d/" % (version - 1)] + further))
            self.acknowledged[version] = time.monotonic()
            if self.choice.random() < 0.2:
                self.store.put("op", "evacuate/guro", "{}")
            elif ("op", "evacuate/guro") in self.store.rows:
                self.store.remove("op", "evacuate/guro")
            time.sleep(self.choice.choice((0.3, 0.8, 2.5)))

    # ------------------------------------------------------------------ faults

    def refuse(self, attribute, seconds):
        setattr(self.store, attribute, True)
        time.sleep(seconds)
        setattr(self.store, attribute, False)
        if attribute == "refusing":
            self.store_faulty_until = time.monotonic() + CONTACT

    def disturb(self, name, how):
        with self.busy[name]:
            process = self.processes[name]
            self.calm_since[name] = float("inf")
            if how == "hup":
                process.send_signal(signal.SIGHUP)
            elif how == "freeze":
                process.send_signal(signal.SIGSTOP)
                time.sleep(self.choice.uniform(0.2, 1.5))
                process.send_signal(signal.SIGCONT)
            else:
                process.send_signal(signal.SIGTERM if how == "term" else signal.SIGKILL)
                try:
                    process.wait(6)
                except subprocess.TimeoutExpired:
                    process.kill()
                    process.wait()
                self.start(name)
            self.calm_since[name] = time.monotonic()

    def disturb_all(self):
        running = []
        while time.monotonic() < self.end - CONTACT - APPLY:
            for _ in range(self.choice.choice((1, 1, 3))):
                how = self.choice.choice(("term", "kill", "hup", "freeze", "refuse", "refuse_some"))
                if how == "refuse":
                    self.store_faulty_until = float("inf")
                    target, arguments = self.refuse, ("refusing", self.choice.uniform(0.2, 1.5))
                elif how == "refuse_some":
                    target, arguments = self.refuse, ("second_refuses",
                                                      self.choice.uniform(1, 6))
                else:
                    # entry-0 always reaches the store and passes its state on.
                    target, arguments = self.disturb, (
                        self.choice.choice(list(self.processes)[1:]), how)
                running.append(threading.Thread(target=target, args=arguments))
                running[-1].start()
            time.sleep(self.choice.uniform(0.3, 2))
        for thread in running:
            thread.join()

    # ------------------------------------------------------------------ callers

    def probe(self, number):
        """Asks one entry on an open connection whether it has the route of a recent version."""
        name, choice = "entry-%d" % number, random.Random(number)
        connection, process = None, None
        while time.monotonic() < self.end:
            if process is not self.processes[name]:
                process, seen, seen_at = self.processes[name], 0, 0.0
            asked = choice.randint(max(10, self.latest - 3), self.latest)
            sent_at = time.monotonic()
            least = self.least_version(name, sent_at)
            if sent_at > seen_at + ROLLBACK_SLACK:
                least = max(least, seen)
            try:
                connection = connection or http.client.HTTPConnection(*self.entries[number],
                                                                      timeout=2)
                connection.request("GET", "/v%d/" % asked, headers={"Host": HOST})
                answer = connection.getresponse()
                answer.read()
            except (OSError, http.client.HTTPException):
                connection.close()
                connection = None
                time.sleep(0.02)
                continue
            if process is not self.processes[name] or answer.status not in (200, 404):
                continue
            self.probes += 1
            # A route that is there shows `asked` or the version after it, one that is missing any
            # other version.
            if answer.status == 200:
                outdated, shown = asked + 1 < least, asked
            else:
                outdated = asked <= least and self.latest <= asked + 1
                shown = asked + 2 if asked <= least else 0
            if outdated:
                self.violations.append("%s: %d for version %d, at least %d due, latest %d, %.3f s" % (
                    name, answer.status, asked, least, self.latest, sent_at - self.begun))
            if shown > seen:
                seen, seen_at = shown, time.monotonic()
            time.sleep(0.005)
        if connection:
            connection.close()

    def least_version(self, name, now):
        """The version that the entry has to hold; 0 if no target applies."""
        if now - self.calm_since[name] < CONTACT or now < self.store_faulty_until:
            return 0
        return max((v for v, at in list(self.acknowledged.items()) if now - at > APPLY), default=0)

    # ------------------------------------------------------------------ runs

    def run_seed(self, seed):
        self.begin(seed)
        threads = [threading.Thread(target=self.change_configurations),
                   threading.Thread(target=self.disturb_all)]
        threads += [threading.Thread(target=self.probe, args=(i,))
                    for i in range(self.entry_count)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        print("seed %d: %d entries, %d agents, %d versions, %d probes, %d violations" % (
            seed, self.entry_count, self.agent_count, len(self.acknowledged), self.probes,
            len(self.violations)), flush=True)
        self.assertEqual(self.violations, [], "seed %d" % seed)
        self.assertGreater(self.probes, 100)

    def setUp(self):
        """`begin` starts the processes of each seed."""

    def test_changes_are_in_force_in_time_and_do_not_revert(self):
        """Guards against entries that serve an older configuration after a confirmed change."""
        for seed in range(SEED, SEED + RUNS):
            with self.subTest(seed=seed):
                self.run_seed(seed)
            self.doCleanups()


if __name__ == "__main__":
    unittest.main()
