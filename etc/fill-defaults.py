#!/usr/bin/env python3
"""Writes the defaults of each section of schema/settings.json at its place in the top-level table as well.

The generator takes the default of a section from there only. Run it after changing a default, before `just generate`.
"""
import json
import pathlib

path = pathlib.Path(__file__).parent.parent / "schema" / "settings.json"
schema = json.loads(path.read_text())
for name, prop in schema["properties"].items():
    definition = schema["definitions"].get(prop.get("$ref", "").rsplit("/", 1)[-1])
    if definition is None or name in schema["required"]:
        continue
    members = definition["properties"].items()
    prop["default"] = {key: value["default"] for key, value in members}
path.write_text(json.dumps(schema, indent=2) + "\n")
