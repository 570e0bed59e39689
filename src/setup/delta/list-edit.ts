/** One step of an edit script: items copied from the former list, or items that are new. */
export type ListEdit<T> =
  | { readonly type: 'keep'; readonly from: number; readonly count: number }
  | { readonly type: 'insert'; readonly items: readonly T[] };

/** The edit script that makes one list of another; items with the same key count as equal. */
export const listEditsOf = <T>(
  former: readonly T[],
  next: readonly T[],
  keyOf: (item: T) => string,
): readonly ListEdit<T>[] => {
  const formerPlaces = new Map(former.map((item, place) => [keyOf(item), place]));
  const edits: ListEdit<T>[] = [];
  for (const item of next) {
    const place = formerPlaces.get(keyOf(item));
    const last = edits[edits.length - 1];
    if (place === undefined) {
      if (last?.type === 'insert') edits[edits.length - 1] = { type: 'insert', items: [...last.items, item] };
      else edits.push({ type: 'insert', items: [item] });
    } else if (last?.type === 'keep' && last.from + last.count === place) {
      edits[edits.length - 1] = { ...last, count: last.count + 1 };
    } else edits.push({ type: 'keep', from: place, count: 1 });
  }
  return edits;
};

/** The edited list; undefined where the script speaks of items that the former list does not have. */
export const withListEdits = <T>(former: readonly T[], edits: readonly ListEdit<T>[]): readonly T[] | undefined => {
  const [only] = edits;
  if (edits.length === 1 && only?.type === 'keep' && only.from === 0 && only.count === former.length) return former;
  const items: T[] = [];
  for (const edit of edits) {
    if (edit.type === 'keep') {
      if (edit.from + edit.count > former.length) return undefined;
      items.push(...former.slice(edit.from, edit.from + edit.count));
    } else items.push(...edit.items);
  }
  return items;
};
