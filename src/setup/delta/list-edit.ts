/** One operation of an edit script: copy a range of the old list, or insert new items. */
export type ListEdit<T> =
  | { readonly type: 'keep'; readonly from: number; readonly count: number }
  | { readonly type: 'insert'; readonly items: readonly T[] };

/** The edit script from an old list to a new one; items with the same key are equal. */
export const listEditsOf = <T>(
  oldList: readonly T[],
  newList: readonly T[],
  keyOf: (item: T) => string,
): readonly ListEdit<T>[] => {
  const oldIndexes = new Map(oldList.map((item, index) => [keyOf(item), index]));
  const edits: ListEdit<T>[] = [];
  for (const item of newList) {
    const oldIndex = oldIndexes.get(keyOf(item));
    const last = edits[edits.length - 1];
    if (oldIndex === undefined) {
      if (last?.type === 'insert') edits[edits.length - 1] = { type: 'insert', items: [...last.items, item] };
      else edits.push({ type: 'insert', items: [item] });
    } else if (last?.type === 'keep' && last.from + last.count === oldIndex) {
      edits[edits.length - 1] = { ...last, count: last.count + 1 };
    } else edits.push({ type: 'keep', from: oldIndex, count: 1 });
  }
  return edits;
};

/**
 * Applies an edit script. Returns undefined if the script refers to items beyond the end of the old list, and the old
 * list itself if the script changes nothing.
 */
export const applyListEdits = <T>(oldList: readonly T[], edits: readonly ListEdit<T>[]): readonly T[] | undefined => {
  const [firstEdit] = edits;
  if (edits.length === 1 && firstEdit?.type === 'keep' && firstEdit.from === 0 && firstEdit.count === oldList.length)
    return oldList;
  const items: T[] = [];
  for (const edit of edits) {
    if (edit.type === 'keep') {
      if (edit.from + edit.count > oldList.length) return undefined;
      items.push(...oldList.slice(edit.from, edit.from + edit.count));
    } else items.push(...edit.items);
  }
  return items;
};
