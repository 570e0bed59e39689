import { parse, type TomlTable } from 'smol-toml';

/** A small deployment of the tests' own, with the sections that the generator reads and some that it must keep. */
export const siteText = `
name = "harbour"
wire = "wire.json"
contracts = ["base", "drain", "config"]
length_s = 40.0
machines = [
  { class = "front", zone = "north", count = 2, spare = 1 },
  { class = "core", zone = "north", count = 1, spare = 1, disk = { mb = 64, sync_ms = 2 } },
  { class = "core", zone = "south", count = 2, spare = 1, disk = { mb = 64, sync_ms = 2 } },
]
services = [{ name = "pilot" }, { name = "tide" }]
classes = [{ name = "berth" }]
troubles = [
  { kind = "srv_slow", service = "pilot", share = 0.2, x = 3.0, for_s = 6.0 },
  { kind = "node_kill", share = 0.2, for_s = 3.0, how = "" },
]

[timing]
catch_up_s = 3.0

[discovery]
lag_ms = 700

[net]
cross_zone_ms = 1.5

[tolerate]
machines = 1
zones = 0

[bounds]
touch_ms = 2500
ack_ms = 3500
`;

/** The deployment as parsed. */
export const siteDocument = (): TomlTable => parse(siteText);

/** A parsed document as plain objects, to be compared with ones written out. */
export const plain = (value: unknown): unknown => JSON.parse(JSON.stringify(value));
