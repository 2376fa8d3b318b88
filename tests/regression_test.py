#!/usr/bin/env python3
"""scripts/regression against a stand-in for the bench's program, which writes the journal entries that a plan tells."""
import json
import pathlib
import subprocess
import sys
import tempfile
import unittest

SCRIPT = pathlib.Path(__file__).resolve().parent.parent / "scripts/regression"

# Takes the next entry of the plan, writes it where the bench would, and ends with the status told there.
STAND_IN = """#!/usr/bin/env python3
import json, pathlib, sys
plan = pathlib.Path(__file__).parent / "plan.json"
steps = json.loads(plan.read_text())
step = steps.pop(0)
plan.write_text(json.dumps(steps))
calls = pathlib.Path(__file__).parent / "calls"
calls.write_text((calls.read_text() if calls.exists() else "") + " ".join(sys.argv[1:]) + "\\n")
if "entry" in step:
    told = {"why": sys.argv[sys.argv.index("--why") + 1]}
    text = step["entry"] if isinstance(step["entry"], str) else json.dumps({**told, **step["entry"]})
    if step.get("beside"):
        (pathlib.Path("journal") / "another.json").write_text(json.dumps({"why": "Another play", "days": []}))
    (pathlib.Path("journal") / f"play-{len(steps):03}.json").write_text(text)
sys.exit(step.get("status", 0))
"""

PANELS = """allowed_drop = 0.03
[[panel]]
name = "one"
program = "bench"
site = "site.toml"
arguments = ["--panel", "later"]
gate = {gate}
full_form = true
last = {{ quick = 0.800, full = 0.700 }}
floor = {{ quick = 0.700, full = 0.600 }}
"""


def entry(figure, gate=1, **more):
    day = {"name": "herd", "rules": {"dup": 0, "lost": 0}, "fault": None}
    day.update(more.pop("day", {}))
    return {"ok": True, "error": None, "days": [day], "figures": {"real_score": figure, "gate": gate}, **more}


class Regression(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.root = pathlib.Path(self.folder.name)
        (self.root / "journal").mkdir()
        (self.root / "bench").write_text(STAND_IN)
        (self.root / "bench").chmod(0o755)

    def tearDown(self):
        self.folder.cleanup()

    def play(self, steps, *arguments, gate="true"):
        (self.root / "plan.json").write_text(json.dumps(steps))
        (self.root / "panels.toml").write_text(PANELS.format(gate=gate))
        done = subprocess.run([sys.executable, SCRIPT, self.root, "--root", self.root, "--data",
                               self.root / "panels.toml", *arguments], capture_output=True, text=True, timeout=60)
        self.left = json.loads((self.root / "plan.json").read_text())
        return done

    def calls(self):
        return (self.root / "calls").read_text().splitlines()

    def test_a_figure_that_holds_passes_and_is_played_once(self):
        done = self.play([{"entry": entry(0.78)}, {"entry": entry(0.99)}])
        self.assertEqual(done.returncode, 0, done.stdout + done.stderr)
        self.assertEqual(len(self.left), 1)
        self.assertIn("0.780", done.stdout)
        self.assertTrue(done.stdout.endswith("REGRESSION passed\n"))

    def test_each_panel_is_played_by_its_name_quick_then_in_full(self):
        done = self.play([{"entry": entry(0.8)}, {"entry": entry(0.7)}], "--full", "--why", "A change")
        self.assertEqual(done.returncode, 0, done.stdout)
        site = self.root.resolve() / "site.toml"
        self.assertEqual(self.calls(), [f"score {site} --panel later --quick --why A change",
                                        f"score {site} --panel later --why A change"])

    def test_a_panel_that_is_always_played_whole_is_not_asked_for_its_short_form(self):
        global PANELS
        before, PANELS = PANELS, PANELS.replace("full_form = true", "full_form = false\nwhole = true")
        try:
            done = self.play([{"entry": entry(0.8)}], "--why", "A change")
        finally:
            PANELS = before
        self.assertEqual(done.returncode, 0, done.stdout)
        self.assertEqual(self.calls(), [f"score {self.root.resolve() / 'site.toml'} --panel later --why A change"])

    def test_a_fall_is_played_again_and_a_second_good_play_holds(self):
        done = self.play([{"entry": entry(0.76)}, {"entry": entry(0.79)}])
        self.assertEqual(done.returncode, 0, done.stdout)
        self.assertIn("0.760, 0.790", done.stdout)

    def test_a_fall_on_both_plays_fails(self):
        done = self.play([{"entry": entry(0.76)}, {"entry": entry(0.769)}])
        self.assertEqual(done.returncode, 1)
        self.assertIn("fell on both plays", done.stdout)

    def test_a_drop_within_what_is_allowed_that_goes_under_the_floor_fails(self):
        panels = PANELS.replace("quick = 0.700", "quick = 0.790")
        (self.root / "plan.json").write_text(json.dumps([{"entry": entry(0.78)}] * 2))
        (self.root / "panels.toml").write_text(panels.format(gate="true"))
        done = subprocess.run([sys.executable, SCRIPT, self.root, "--root", self.root, "--data",
                               self.root / "panels.toml"], capture_output=True, text=True, timeout=60)
        self.assertEqual(done.returncode, 1, done.stdout)

    def test_a_broken_rule_fails_whatever_the_figure_and_no_second_play_hides_it(self):
        done = self.play([{"entry": entry(0.76, day={"rules": {"dup": 1}})}, {"entry": entry(0.9)}])
        self.assertEqual(done.returncode, 1)
        self.assertIn("herd: rules broken {'dup': 1}", done.stdout)
        self.assertEqual(len(self.left), 1)
        done = self.play([{"entry": entry(0.76)}, {"entry": entry(0.9, day={"rules": {"dup": 1}})}])
        self.assertEqual(done.returncode, 1)

    def test_a_crash_a_failed_gate_and_a_bench_that_is_not_ok_fail(self):
        for step in ({"entry": entry(0.9, day={"fault": "n3 crashed"})}, {"entry": entry(0.9, gate=0)},
                     {"entry": entry(0.9, ok=False, error="build")}, {"entry": entry(0.9), "status": 1},
                     {"entry": entry(None)}, {"entry": {"ok": True, "days": [], "figures": {}}},
                     {"entry": "{"}, {"status": 0}):
            done = self.play([step])
            self.assertEqual(done.returncode, 1, f"{step}: {done.stdout}")

    def test_a_panel_without_a_gate_is_not_asked_for_one(self):
        done = self.play([{"entry": entry(0.8, gate=0)}], gate="false")
        self.assertEqual(done.returncode, 0, done.stdout)

    def test_the_simulators_figure_is_read_where_it_stands(self):
        score = entry(None)
        score["figures"] = {}
        done = self.play([{"entry": {**score, "score": 0.81}}], gate="false")
        self.assertEqual(done.returncode, 0, done.stdout)
        score["figures"] = {"rule_days_broken": 1.0}
        done = self.play([{"entry": {**score, "score": 0.81}}], gate="false")
        self.assertEqual(done.returncode, 1, done.stdout)

    def test_what_is_recorded_is_what_the_next_landing_is_held_against(self):
        done = self.play([{"entry": entry(0.85)}], "--record")
        self.assertEqual(done.returncode, 0, done.stdout)
        self.assertIn("last = { quick = 0.850, full = 0.700 }", (self.root / "panels.toml").read_text())
        self.play([{"entry": entry(0.5)}, {"entry": entry(0.5)}], "--record")
        self.assertIn("last = { quick = 0.800, full = 0.700 }", (self.root / "panels.toml").read_text())

    def test_a_play_of_somebody_else_beside_it_is_left_alone(self):
        done = self.play([{"entry": entry(0.78), "beside": True}])
        self.assertEqual(done.returncode, 0, done.stdout)
        done = self.play([{"entry": entry(0.78, why="Not this one")}])
        self.assertEqual(done.returncode, 1, done.stdout)

    def test_wrong_calls_are_told_and_play_nothing(self):
        for arguments in (["--panels", "none"], ["--why", "x" * 120]):
            done = self.play([{"entry": entry(0.9)}], *arguments)
            self.assertEqual(done.returncode, 2, done.stdout)
            self.assertEqual(len(self.left), 1)
        (self.root / "bench").unlink()
        self.assertEqual(self.play([]).returncode, 2)

    def test_the_shipped_data_can_be_read(self):
        done = subprocess.run([sys.executable, SCRIPT, self.root], capture_output=True, text=True, timeout=60)
        self.assertEqual(done.returncode, 2)
        self.assertIn("no such program", done.stderr)


if __name__ == "__main__":
    unittest.main()
