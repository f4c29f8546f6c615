"""Writes the fixed random corpora of the stateful targets (seed 1)."""
import pathlib
import random

HERE = pathlib.Path(__file__).parent
RANDOM = random.Random(1)
for name in ("ticket", "bills", "freshness", "retries", "lives", "rollouts"):
    for number in range(8):
        size = 256 << (number % 3)
        data = bytes(RANDOM.randrange(256) for _ in range(size))
        (HERE / name / f"seed{number}").write_bytes(data)
