import { buildBundle } from './bundle.mjs';

await buildBundle('target');
