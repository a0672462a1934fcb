#!/bin/sh
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../play.sh" repeat "$here"
