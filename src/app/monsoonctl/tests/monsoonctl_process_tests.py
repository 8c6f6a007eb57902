"""Runs the real binaries: platform-standin with injected faults, and several concurrent monsoonctl processes.

Usage: monsoonctl_process_tests.py FOLDER_OF_BINARIES
"""
import json
import pathlib
import subprocess
import sys
import tempfile
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[4] / "scripts" / "lib"))

from harness.platform import Platform, one_service  # noqa: E402

BINARIES = pathlib.Path(sys.argv.pop(1)) if len(sys.argv) > 1 else pathlib.Path("build/bin")
ACCEPTED, REFUSED, CONFLICT, UNAVAILABLE, UNKNOWN = 0, 1, 3, 4, 5


class ProcessTests(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.platform = Platform(BINARIES, self.folder / "platform.log", "--seed", "7")
        self.addCleanup(self.stop_platform)

    def stop_platform(self) -> None:
        self.assertEqual(self.platform.process.stop(30), 0)

    def begin(self, *arguments: str) -> subprocess.Popen:
        return subprocess.Popen(
            [BINARIES / "monsoonctl", *arguments, "--platform", self.platform.address, "--output", "json"],
            stdout=subprocess.PIPE, text=True)

    def end(self, process: subprocess.Popen) -> tuple[int, dict]:
        output, _ = process.communicate(timeout=60)
        return process.returncode, json.loads(output)

    def run_tool(self, *arguments: str) -> tuple[int, dict]:
        return self.end(self.begin(*arguments))

    def document(self, slots: int) -> str:
        path = self.folder / f"{slots}.yaml"
        path.write_text(one_service(slots, "palermo"))
        return str(path)

    def submit(self, slots: int, *more: str) -> tuple[int, dict]:
        return self.run_tool("submit", self.document(slots), "--as", "anna", *more)

    def history(self) -> list[dict]:
        code, answer = self.run_tool("history", "--limit", "0")
        self.assertEqual(code, ACCEPTED)
        return answer["entries"]

    def test_of_two_racing_operators_one_wins_and_the_other_gets_a_conflict(self) -> None:
        self.assertEqual(self.submit(10)[0], ACCEPTED)
        self.platform.set_faults(slow_ms=100)
        rivals = [self.begin("submit", self.document(slots), "--as", f"operator-{slots}", "--base", "1")
                  for slots in (20, 30)]
        ends = sorted((self.end(rival) for rival in rivals), key=lambda end: end[0])
        self.assertEqual([end[0] for end in ends], [ACCEPTED, CONFLICT])
        winner, loser = ends[0][1], ends[1][1]
        self.assertEqual(winner["revision"], 2)
        self.assertEqual([entry["submission"] for entry in loser["others"]], [winner["submission"]])
        self.assertEqual(loser["others"][0]["changes"], winner["changes"])
        self.assertEqual([entry["revision"] for entry in self.history()], [2, 1])

    def test_racing_operators_with_lost_answers_have_one_consistent_history(self) -> None:
        self.platform.set_faults(lose_answers=0.5)
        rivals = {slots: self.begin("submit", self.document(slots), "--as", f"operator-{slots}",
                                    "--patience", "30") for slots in range(10, 16)}
        ends = {slots: self.end(rival) for slots, rival in rivals.items()}
        self.platform.set_faults()
        accepted = {answer["submission"]: answer["revision"]
                    for code, answer in ends.values() if code == ACCEPTED}
        self.assertTrue(all(code in (ACCEPTED, CONFLICT) for code, _ in ends.values()), ends)
        self.assertGreaterEqual(len(accepted), 1)
        entries = self.history()
        self.assertEqual({entry["submission"]: entry["revision"] for entry in entries}, accepted)
        self.assertEqual([entry["revision"] for entry in entries], list(range(len(accepted), 0, -1)))

    def test_an_outage_refuses_a_submission_and_keeps_the_document_in_force(self) -> None:
        self.assertEqual(self.submit(10)[0], ACCEPTED)
        for silent in (False, True):
            self.platform.set_faults(outage=True, silent=silent)
            self.assertEqual(self.submit(20, "--patience", "2")[0], UNAVAILABLE)
            self.platform.set_faults()
            self.assertEqual(len(self.history()), 1)
        self.assertEqual(self.submit(20)[1]["revision"], 2)

    def test_submissions_are_resolved_when_every_answer_is_lost(self) -> None:
        self.platform.set_faults(lose_answers=1)
        for revision in range(1, 81):
            code, answer = self.submit(100 + revision % 2, "--patience", "30")
            self.assertEqual((code, answer["revision"]), (ACCEPTED, revision))
        self.platform.set_faults()
        entries = self.history()
        self.assertEqual([entry["revision"] for entry in entries], list(range(80, 0, -1)))

    def test_an_unknown_outcome_can_be_queried_again(self) -> None:
        self.assertEqual(self.submit(10)[0], ACCEPTED)
        self.platform.set_faults(lose_answers=1, slow_ms=300)
        process = self.begin("submit", self.document(20), "--as", "anna", "--patience", "4")
        while self.platform.stats()["answers_lost"] == 0:
            self.assertIsNone(process.poll())
        self.platform.set_faults(outage=True)
        code, answer = self.end(process)
        self.assertEqual(code, UNKNOWN)
        self.platform.set_faults()
        self.assertEqual(self.submit(30)[1]["revision"], 3)
        code, again = self.submit(20, "--submission", answer["submission"], "--base", str(answer["revision"]))
        self.assertEqual((code, again["revision"]), (ACCEPTED, 2))
        self.assertEqual([entry["revision"] for entry in self.history()], [3, 2, 1])

    def test_an_invalid_document_is_refused(self) -> None:
        code, answer = self.submit(5000)
        self.assertEqual(code, REFUSED)
        self.assertEqual(answer["errors"][0]["path"], "services[0].connections")
        self.assertEqual(self.history(), [])


if __name__ == "__main__":
    unittest.main()
