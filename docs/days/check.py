#!/usr/bin/env python3
"""Whether the meeting of a day "confirmed" came about, from its log (LOG_LEVEL info).

  docs/days/check.py LOG

Reads from when on the leader was refused or alone, and from when on the state service had
trouble; counts the cancellations that other controllers confirmed between, with the tasks
placed then, and the reports that the old leader answered without a proof of leading. Exit
status 1 if there were none, or if a rule was broken.
"""
import re, sys

if len(sys.argv) != 2:
    print("usage: check.py LOG", file=sys.stderr)
    sys.exit(2)
alone = down = None
node, cancelled, placed, answered, broken = "", 0, 0, 0, None
for line in open(sys.argv[1], errors="replace"):
    m = re.match(r"\s+at ([\d.]+) s: (.*)", line)
    if m and alone is None and ("refuses" in m[2] or "loses" in m[2] or "cut" in m[2]):
        alone, node = float(m[1]), (re.search(r"berth-\d+|\b[a-z]+-\d+\b", m[2]) or [""])[0]
    elif m and "state service has trouble" in m[2]:
        down = float(m[1])
    m = re.search(r"rules: (\d+) of", line)
    if m:
        broken = int(m[1])
if alone is None or down is None:
    sys.exit("no leader that is refused, or no outage, in this log")
for line in open(sys.argv[1], errors="replace"):
    m = re.match(r"\s+([\d.]+) (\S+) ", line)
    if not m:
        continue
    at, who = float(m[1]), m[2]
    if "job cancelled" in line and alone <= at <= down and who != node:
        cancelled += 1
        placed += int(re.search(r"placed=(\d+)", line)[1])
    m = re.search(r"reports_answered=(\d+)", line)
    if m and who == node and at >= alone:
        answered = max(answered, int(m[1]))
print(f"{node} alone from {alone:.1f} s, outage from {down:.1f} s: {cancelled} cancellations confirmed between, "
      f"with {placed} tasks placed; {answered} reports answered without a proof; rules broken: {broken}")
sys.exit(not (cancelled and placed and answered and broken == 0))
