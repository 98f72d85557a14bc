#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")" || exit 2
python3 -c "import asyncio, tomllib; asyncio.timeout" || exit 2
PYTHONPATH=../common PYTHONDONTWRITEBYTECODE=1 exec python3 run.py
