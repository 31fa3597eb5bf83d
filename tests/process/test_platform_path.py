"""The programs of platform/ with stand-ins for the store, workers and callers."""
import json
import signal
import subprocess
import threading
import time
import unittest

from platform_case import AGENTS, BUILD, ENTRIES, HOST, PlatformCase, configuration, send


class PlatformTest(PlatformCase):
    def assert_no_overlap(self):
        """Checks that every task was started once over all workers."""
        runs = {}
        for worker in self.workers:
            for begun, task, run in worker.started:
                ended = next((e for e in worker.finished if e[1] == task and e[2] == run), None)
                runs.setdefault(task, []).append((begun, ended))
        for task, starts in runs.items():
            self.assertEqual(len(starts), 1, (task, starts))

    def overview(self):
        addresses = ["%s:%d" % (self.settings[name]["ip"], self.link_port + 1)
                     for name in self.settings]
        command = [BUILD.parent / "src/tools/carobfall/carobfall", "--output", "json", "overview"]
        done = subprocess.run(command + addresses, capture_output=True, text=True, check=False)
        self.assertEqual(done.returncode, 0, done.stderr)
        return json.loads(done.stdout)

    def test_overview_shows_refusals_outages_and_degraded_workers(self):
        """Guards against gauges that are missing or have other names than the command reads."""
        before = self.overview()
        self.assertEqual(before["processes"], ENTRIES + AGENTS)
        self.assertEqual((before["silent"], before["doubted"], before["not_ready"]), ([], [], []))
        self.assertEqual(before["configurations"], {"3": ENTRIES + AGENTS})
        self.assertEqual(before["capacity_cores"], 64 * AGENTS)
        self.assertGreater(before["outcomes"]["succeeded, done"], 0)
        self.assertEqual(self.submit("%016x" % 2, prefix="/none/")[0], 404)
        self.workers[0].state = "draining"
        self.store.refusing = True
        self.wait_for(lambda: self.overview()["doubted"] == ["agent-0: takes no orders"],
                      "the agent reports its worker as degraded")
        self.wait_for(lambda: len(self.overview()["without_store"]) == ENTRIES + AGENTS,
                      "every process reports the outage")
        # A submission that arrives before the configuration is refused, too; `setUp` retries it.
        self.assertEqual(sum(self.overview()["refusals"].values()),
                         sum(before["refusals"].values()) + 1)
        self.processes["agent-1"].kill()
        self.wait_for(lambda: len(self.overview()["silent"]) == 1, "the killed agent is silent")

    def where(self, *options, path="/check/"):
        """Runs `carobfall where` at the first entry; exit code, JSON document and errors."""
        address = "%s:%d" % (self.entries[0][0], self.link_port + 1)
        command = [BUILD.parent / "src/tools/carobfall/carobfall", "--output", "json", "where",
                   "--host", HOST, "--path", path, *options, address]
        done = subprocess.run(command, capture_output=True, text=True, check=False)
        return done.returncode, json.loads(done.stdout or "{}"), done.stderr

    def test_where_explains_a_job_without_running_it(self):
        """Guards against an explanation that runs tasks, counts as a job or hides an obstacle."""
        self.workers[0].state = "draining"
        self.wait_for(lambda: self.overview()["doubted"] == ["agent-0: takes no orders"],
                      "the worker drains")
        before = [len(w.started) for w in self.workers], self.overview()["outcomes"]
        ordered = [self.log("agent-%d" % i).count("start_ordered") for i in range(AGENTS)]
        job = ["--tasks", "4", "--cpu", "6200", "--memory", "64", "--run-ms", "60",
               "--deadline", "4"]
        for _ in range(20):
            code, document, errors = self.where(*job)
            self.assertEqual((code, errors), (0, ""))
            placement = document["entries"][0]["placement"]
            self.assertEqual(placement["admission"]["reason"], "starts_at_once")
            self.assertEqual({c["agent"] for c in placement["candidates"]}, {"agent-1", "agent-2"})
            self.assertEqual([(p["agent"], p["obstacle"]) for p in placement["passed_over"]],
                             [("agent-0", "unusable")])
            self.assertEqual(len(placement["placement"]), 4)
            self.assertLess(placement["knowledge"]["oldest_ms"], 500)
        code, document, _ = self.where(*job, "--label", "none")
        self.assertEqual(document["entries"][0]["placement"]["admission"]["reason"], "no_worker")
        time.sleep(0.5)
        self.assertEqual(([len(w.started) for w in self.workers], self.overview()["outcomes"]),
                         before)
        self.assertEqual([self.log("agent-%d" % i).count("start_ordered") for i in range(AGENTS)],
                         ordered)

    def test_where_refuses_invalid_questions(self):
        """Guards against wrong exit codes and unclear errors for invalid questions."""
        code, _, errors = self.where(path="/none/")
        self.assertEqual(code, 3)
        self.assertIn("no_route: configuration 3 has no route for host " + HOST, errors)
        code, _, errors = self.where("--tasks", "671")
        self.assertEqual(code, 2)
        self.assertIn("step_out_of_bounds", errors)
        large = self.directory / "large.json"
        large.write_text(json.dumps({"spec": "x" * (300 << 10)}))
        code, _, errors = self.where("--file", str(large))
        self.assertEqual(code, 2)
        self.assertIn("larger than the entry accepts", errors)

    def test_serves_and_refuses(self):
        """Guards against wrong statuses for valid, unknown, malformed and unsupported requests."""
        status, content, _ = self.submit("%016x" % 7, count=24)
        self.assertEqual((status, json.loads(content)), (200, {"state": "succeeded"}))
        self.assertEqual(self.submit("%016x" % 8, prefix="/none/")[0], 404)
        self.assertEqual(self.submit("xyz")[0], 400)
        self.assertEqual(self.submit("%016x" % 8, best_effort=False)[0], 503)
        self.assertEqual(send(self.entries[0], "POST", "/check/%016x" % 8, "{",
                              {"Host": HOST})[0], 400)
        headers = {"Host": HOST}
        self.assertEqual(send(self.entries[0], "GET", "/check/%016x" % 7, None, headers)[0], 410)
        self.assertEqual(send(self.entries[0], "GET", "/check/", None, headers)[1],
                         '{"pending":0}')

    def test_configuration_and_data_centre(self):
        """Guards against configurations and evacuations that take more than 2 s to take effect."""
        self.store.put("op", "config", configuration(9, ["/check/", "/new/"]))
        self.wait_for(lambda: all(self.submit("%016x" % 9, e, prefix="/new/")[0] == 200
                                  for e in self.entries), "the new route serves", 2)
        self.store.put("op", "evacuate/guro", "{}")
        time.sleep(2)
        before = [len(w.started) for w in self.workers]
        for i in range(20):
            self.assertEqual(self.submit("%016x" % (100 + i), self.entries[i % 2])[0], 200)
        after = [len(w.started) for w in self.workers]
        self.assertEqual(before[1:], after[1:])
        self.assertGreater(after[0], before[0])
        self.store.remove("op", "evacuate/guro")
        self.wait_for(lambda: self.submit("%016x" % time.monotonic_ns(), count=24)[0] == 200 and
                      len(self.workers[1].started) > before[1], "the data centre is back")

    def test_store_outage(self):
        """Guards against jobs, and restarts of entries, that fail during an outage of the store."""
        self.store.refusing = True
        time.sleep(0.3)
        for i in range(10):
            self.assertEqual(self.submit("%016x" % (200 + i))[0], 200)
        self.processes["entry-0"].kill()
        self.processes["entry-0"].wait()
        self.start("entry-0")
        # The restarted entry receives the configuration from the agents.
        self.wait_for(lambda: self.submit("%016x" % time.monotonic_ns())[0] == 200,
                      "the entry serves without the store")

    def test_lost_responses_to_orders(self):
        """Guards against two runs of a task when the response to its order is lost."""
        for worker in self.workers:
            worker.run_ms = 400
            worker.lost_answers = 2
        self.assertEqual(self.submit("%016x" % 300, count=12)[0], 200)
        for worker in self.workers:
            tasks = [task for _, task, _ in worker.started]
            for task in set(tasks):
                runs = [run for _, t, run in worker.started if t == task]
                self.assertEqual(runs, sorted(set(runs)), task)

    def test_agent_restart(self):
        """Guards against jobs lost with a killed agent, and overlapping runs after its restart."""
        for worker in self.workers:
            worker.run_ms = 300
        answers = []
        threads = [threading.Thread(target=lambda i=i: answers.append(
            self.submit("%016x" % (400 + i), deadline=8000)[0])) for i in range(5)]
        for thread in threads:
            thread.start()
        time.sleep(0.15)
        self.processes["agent-1"].kill()
        self.processes["agent-1"].wait()
        self.start("agent-1")
        for thread in threads:
            thread.join()
        self.assertEqual(answers, [200] * 5)
        self.assertIn("event=worker_recalled", self.log("agent-1"))

    def test_graceful_stop(self):
        """Guards against requests cut off by SIGTERM, and processes that do not end in time."""
        for worker in self.workers:
            worker.run_ms = 800
        answers = []
        threads = [threading.Thread(target=lambda i=i: answers.append(
            self.submit("%016x" % (500 + i), self.entries[i % 2])[0])) for i in range(6)]
        for thread in threads:
            thread.start()
        time.sleep(0.2)
        begun = time.monotonic()
        for name in ("entry-0", "agent-0"):
            self.processes[name].send_signal(signal.SIGTERM)
        for thread in threads:
            thread.join()
        self.assertEqual(answers, [200] * 6)
        for name in ("entry-0", "agent-0"):
            self.assertEqual(self.processes[name].wait(6), 0)
        self.assertLess(time.monotonic() - begun, 6)

    def test_reload_and_bad_input(self):
        """Guards against processes that exit on SIGHUP or on malformed input."""
        for name, process in self.processes.items():
            process.send_signal(signal.SIGHUP)
        control = tuple(self.settings["agent-0"]["listen_addrs"]["control"].split(":"))
        self.assertEqual(send((control[0], int(control[1])), "POST",
                              "/api/Instances.Heartbeat/i-9", "{]")[0], 400)
        self.store.put("op", "evacuate/\x01", "[")
        self.store.put("op", "config", "{]")
        self.store.put("entries", "nonsense", "]")
        self.wait_for(lambda: self.log("entry-0").count("event=row_malformed") == 2,
                      "both rows are logged")
        self.assertEqual(self.submit("%016x" % 600)[0], 200)
        for name, process in self.processes.items():
            self.assertIsNone(process.poll(), name)
            self.assertIn("event=settings_reloaded", self.log(name))
        self.assertIn("event=heartbeat_malformed", self.log("agent-0"))

    def test_settings_refused(self):
        """Guards against a process that starts without required settings."""
        path = self.directory / "bad.json"
        path.write_text('{"node_name":"x"}')
        ended = subprocess.run([BUILD / "carobfall-platform-entry"], capture_output=True,
                               env={"CAROBFALL_SETTINGS": str(path)}, timeout=5)
        self.assertEqual(ended.returncode, 2)
        self.assertIn(b"settings: node_name, ip or zone is missing", ended.stderr)


class OverloadTest(PlatformCase):
    def prepare(self):
        self.settings["entry-0"]["overload"] = {"shed_load": True}

    def test_overloaded_entry_sheds_load_and_recovers(self):
        """Guards against jobs that are taken and end late, and an entry that stays unready."""
        ip, port = self.settings["entry-0"]["listen_addrs"]["ready"].split(":")
        recovered = threading.Event()
        self.addCleanup(recovered.set)

        def delay_event_loop():
            while not recovered.is_set():
                for number, seconds in ((signal.SIGSTOP, 0.2), (signal.SIGCONT, 0.04)):
                    self.processes["entry-0"].send_signal(number)
                    time.sleep(seconds)

        threading.Thread(target=delay_event_loop).start()
        self.wait_for(lambda: "state=overloaded " in self.log("entry-0"), "overload is seen")
        self.assertEqual(send((ip, int(port)), "GET", "/")[0], 503)
        status, _, headers = self.submit("%016x" % 9, deadline=220)
        self.assertEqual((status, headers["Connection"]), (503, "close"))
        self.wait_for(lambda: self.submit("%016x" % 10)[0] == 200, "a job with slack is served")
        recovered.set()
        self.assertIn("reason=entry_overloaded", self.log("entry-0"))
        self.wait_for(lambda: send((ip, int(port)), "GET", "/")[0] == 200, "the entry is ready")
        self.assertNotIn("Connection", self.submit("%016x" % 11, deadline=220)[2])


if __name__ == "__main__":
    unittest.main()
