"""Run the command line with ``python -m orioleshore``."""

from orioleshore.cli import application

if __name__ == '__main__':
    application.main()
