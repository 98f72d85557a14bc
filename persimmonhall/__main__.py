"""Run the operator's command line."""

import sys

from persimmonhall.cli.operator import main

sys.exit(main())
