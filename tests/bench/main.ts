import { recordCosts } from './record-figures.js';
import { exchangeCost, listCost, routeChangeCost } from './figures.js';

const print = (line: string): void => void process.stdout.write(`${line}\n`);

print('| openings known | in flight | servers | us of processor for an exchange |');
print('| --- | --- | --- | --- |');
for (const servers of [13, 100, 1500])
  for (const inFlight of [10, 200, 1000])
    for (const openings of [100, 4000, 20_000]) {
      const cost = exchangeCost({ openings, inFlight, servers });
      print(`| ${openings} | ${inFlight} | ${servers} | ${cost.toFixed(1)} |`);
    }
print('\n| servers | us of processor for a list that changes |\n| --- | --- |');
for (const servers of [13, 100, 1500]) print(`| ${servers} | ${listCost(servers).toFixed(0)} |`);
print('\n| servers | us of processor for a change of one route of 400 |\n| --- | --- |');
for (const servers of [13, 100, 1500]) print(`| ${servers} | ${routeChangeCost(servers, 400).toFixed(0)} |`);
print('\n| a configuration of 1,400 routes | first, ms of processor | once more |\n| --- | --- | --- |');
for (const { step, firstMillis, nextMillis } of recordCosts(1_400))
  print(`| ${step} | ${firstMillis.toFixed(1)} | ${nextMillis.toFixed(1)} |`);
