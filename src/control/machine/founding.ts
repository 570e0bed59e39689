import { withEntry } from '../../common/maps.js';
import type { LogEntry } from '../log/log-entry.js';
import type { Member } from '../members/member.js';
import { andThen, stepped, type ControlStep } from './control-step.js';
import type { ControlView } from './control-view.js';
import { membersOf } from './log-reading.js';
import type { ControlMessage } from './message.js';
import { electionMoment, restingRoleOf, withRole } from './roles.js';
import { rejoinSpanUs, heartbeatSpanUs } from './timing.js';

type Hello = Extract<ControlMessage, { readonly type: 'hello' | 'helloBack' }>;

const isFounded = (view: ControlView): boolean => membersOf(view).length > 0;

/** Another address of the same core; it asks to join, or to be known where it now is. */
export const soughtLeader = (view: ControlView): ControlStep => {
  const addresses = new Set([...view.seeds, ...view.known, ...membersOf(view).map((member) => member.address)]);
  addresses.delete(view.address);
  return stepped(
    { ...view, heartbeatUs: view.atUs + rejoinSpanUs / 2 },
    ...[...addresses].map((address) => ({
      type: 'sendTo' as const,
      address,
      message: { type: 'join' as const, identity: view.identity, address: view.address },
    })),
  );
};

const soughtCore = (view: ControlView): ControlStep =>
  stepped(
    { ...view, heartbeatUs: view.atUs + heartbeatSpanUs * 2 },
    ...[...new Set([...view.seeds, ...view.known])]
      .filter((address) => address !== view.address)
      .map((address) => ({
        type: 'sendTo' as const,
        address,
        message: {
          type: 'hello' as const,
          identity: view.identity,
          address: view.address,
          founded: false,
          offer: view.offer,
        },
      })),
  );

const membersIn = (offer: string): readonly Member[] => offer.split(',').map(memberOf);

const memberOf = (text: string): Member => {
  const [identity = '', address = ''] = text.split('@');
  return { identity, address, voter: true };
};

const founded = (view: ControlView, offer: string, chance: number): ControlStep => {
  const entry: LogEntry = { index: 1, term: 0, command: { type: 'members', members: membersIn(offer) } };
  const foundedView: ControlView = { ...view, entries: [entry], electionUs: electionMoment(view, chance) };
  return andThen(stepped(foundedView, { type: 'keep', record: { type: 'entries', entries: [entry] } }), (keptView) =>
    withRole(keptView, { role: restingRoleOf(keptView) }),
  );
};

/**
 * A core is founded once, when all seeds have bound themselves to the same members while all were empty.
 * A seed that has founded it already still shows its offer, or the slower ones could never follow.
 */
const weighed = (view: ControlView, chance: number): ControlStep => {
  if (isFounded(view) || !view.founds || !view.seeds.includes(view.address)) return stepped(view);
  const hellos = withEntry(view.hellos, view.address, { identity: view.identity, offer: view.offer, founded: false });
  const seen = view.seeds.flatMap((address) => {
    const hello = hellos.get(address);
    return hello === undefined ? [] : [{ address, ...hello }];
  });
  if (seen.length < view.seeds.length) return stepped(view);
  const offer = seen
    .map(({ identity, address }) => `${identity}@${address}`)
    .sort()
    .join(',');
  if (seen.some((hello) => hello.founded)) return stepped(view);
  if (view.offer === offer)
    return seen.every((hello) => hello.offer === offer) ? founded(view, offer, chance) : stepped(view);
  return mayBind(view, seen)
    ? andThen(stepped({ ...view, offer }, { type: 'keep', record: { type: 'offer', offer } }), (offeredView) =>
        weighed(offeredView, chance),
      )
    : stepped(view);
};

/**
 * A seed that is bound already may bind itself anew only while a majority of those it was bound with is seen empty and
 * unfounded: then nothing can have been taken by a core of that binding, and nothing ever will be.
 */
const mayBind = (view: ControlView, seen: readonly { readonly identity: string }[]): boolean => {
  if (view.offer === undefined) return true;
  const bound = membersIn(view.offer);
  return bound.filter((member) => seen.some((hello) => hello.identity === member.identity)).length * 2 > bound.length;
};

/** Looks for a core, or for those to found it with; a sole seed waits for nobody. */
export const soughtSeeds = (view: ControlView, chance: number): ControlStep =>
  andThen(weighed(view, chance), soughtCore);

/** A founder names those it was bound with; an empty seed among them follows it, whatever it has bound itself to since. */
const followedFounder = (view: ControlView, message: Hello, chance: number): ControlStep =>
  !isFounded(view) &&
  message.founded &&
  message.offer !== undefined &&
  membersIn(message.offer).some((member) => member.identity === view.identity)
    ? founded(view, message.offer, chance)
    : weighed(view, chance);

export const onHello = (view: ControlView, message: Hello, chance: number): ControlStep => {
  const heardView: ControlView = {
    ...view,
    hellos: withEntry(view.hellos, message.address, {
      identity: message.identity,
      offer: message.offer,
      founded: message.founded,
    }),
  };
  const weighedStep = followedFounder(heardView, message, chance);
  const joinStep = andThen(weighedStep, (weighedView) =>
    message.founded && !isFounded(weighedView)
      ? stepped(weighedView, {
          type: 'sendTo',
          address: message.address,
          message: { type: 'join', identity: view.identity, address: view.address },
        })
      : stepped(weighedView),
  );
  return message.type === 'helloBack'
    ? joinStep
    : andThen(joinStep, (answeringView) =>
        stepped(answeringView, {
          type: 'sendTo',
          address: message.address,
          message: {
            type: 'helloBack',
            identity: answeringView.identity,
            address: answeringView.address,
            founded: isFounded(answeringView),
            offer: answeringView.offer,
          },
        }),
      );
};
