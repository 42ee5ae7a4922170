"""Prints the days of the newest score of a deployment beside those of the score before it."""

import glob
import json
import os
import sys


def scores(site):
    """Returns the scores of a deployment as (file name, entry), oldest first."""
    found = []
    for path in sorted(glob.glob("journal/*.json")):
        with open(path) as file:
            entry = json.load(file)
        if entry.get("cmd") == "score" and entry.get("site") == site and entry.get("days"):
            found.append((os.path.basename(path), entry))
    return found


def main():
    site, known = sys.argv[1], sys.argv[2]
    with open(known) as file:
        earlier = set(file.read().split())
    found = scores(site)
    new = [entry for name, entry in found if name not in earlier]
    old = [entry for name, entry in found if name in earlier]
    if not new:
        sys.exit(f"{site}: no score was recorded")
    newest, previous = new[-1], old[-1] if old else None
    before = {day["name"]: day for day in previous["days"]} if previous else {}
    print(f"{site}: score {newest['score']}, before {previous['score'] if previous else 'none'}")
    for day in newest["days"]:
        last = before.get(day["name"])
        worth = f"{day['G']:.3f} ({last['G']:.3f})" if last else f"{day['G']:.3f}"
        broken = ", ".join(day["rules"]) or "no rule broken"
        print(f"  {day['name']:12} worth {worth:16} served {day['served']:.3f}  {broken}")


main()
