import { withFailure } from '../../health/server-failures.js';
import { withPrefill } from '../../work/prefill-estimate.js';
import { withoutElapsed } from '../../../common/clock/time-bound.js';
import { withRouterCount } from '../../retry/router-counts.js';
import { positionEnd, positionOf } from '../../ring/position.js';
import type { DecisionEvent } from '../event/decision-event.js';
import { platformUsOf, type DecisionView } from '../view/decision-view.js';
import { withoutEffects, type DecisionStep } from './decision-step.js';
import { onAbandoned, onDone, onFailed, onFirstPiece, onSent } from './on-delivery.js';
import { onExchange } from './on-exchange.js';
import { onList, withPlatformUs } from './on-list.js';
import { onSetup } from './on-setup.js';
import { onShutdown } from './on-shutdown.js';
import { onTick } from './on-tick.js';
import { updateTopology } from './update-topology.js';

const onTime = (view: DecisionView): DecisionStep =>
  platformUsOf(view) >= view.topology.nextChangeUs ? updateTopology(view) : withoutEffects(view);

const onEvent = (view: DecisionView, event: DecisionEvent): DecisionStep => {
  switch (event.type) {
    case 'node':
      return withoutEffects({ ...view, slotOffset: positionOf(event.node) / positionEnd });
    case 'fleet':
      return withoutEffects({ ...view, routerCounts: withRouterCount(view.routerCounts, event.routers, view.atUs) });
    case 'setup':
      return onSetup(view, event.record);
    case 'list':
      return onList(view, event.list);
    case 'gap':
      return withoutEffects(view);
    case 'time':
      return onTime(withPlatformUs(view, event.platformUs));
    case 'exchange':
      return onExchange(view, event);
    case 'sent':
      return onSent(view, event);
    case 'firstPiece':
      return onFirstPiece(view, event);
    case 'done':
      return onDone(view, event);
    case 'failed':
      return onFailed(view, event);
    case 'abandoned':
      return onAbandoned(view, event.exchange);
    case 'work':
      return withoutEffects(withPrefill(view, event.server, event.service, event.tokens));
    case 'failure':
      return withoutEffects({ ...view, failures: withFailure(view.failures, event.server, event.cause, view.atUs) });
    case 'load': {
      const { running, waiting, slots } = event;
      return withoutEffects({
        ...view,
        loads: view.loads.set(event.server, { running, waiting, slots, atUs: view.atUs }),
      });
    }
    case 'dark':
      return withoutEffects({ ...view, dark: new Set([...view.dark, event.server]) });
    case 'light':
      return withoutEffects({ ...view, dark: new Set([...view.dark].filter((server) => server !== event.server)) });
    case 'tick':
      return onTick(view);
    case 'drain':
      return withoutEffects({ ...view, draining: true });
    case 'shutdown':
      return onShutdown(view);
  }
};

/**
 * The decision machine as a pure function: no clock, no randomness, no I/O. Equal views and events give equal decisions,
 * so a trace of events can be replayed.
 */
export const stepDecision = (view: DecisionView, event: DecisionEvent): DecisionStep => {
  const nowView: DecisionView = {
    ...view,
    atUs: Math.max(view.atUs, event.at),
    startedUs: view.startedUs ?? event.at,
    platform: event.type === 'gap' ? withoutElapsed(view.platform, event.spanUs) : view.platform,
  };
  if (event.type !== 'tick' && platformUsOf(nowView) >= nowView.topology.nextChangeUs) {
    const updated = updateTopology(nowView);
    const step = onEvent(updated.view, event);
    return { view: step.view, effects: [...updated.effects, ...step.effects] };
  }
  return onEvent(nowView, event);
};
