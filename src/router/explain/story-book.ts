import type { ExchangeStory, StoryStep } from './exchange-story.js';

/** The stories of the newest exchanges of a node. */
export type StoryBook = {
  readonly begin: (story: ExchangeStory) => void;
  readonly add: (exchange: string, step: StoryStep) => void;
  readonly all: () => readonly ExchangeStory[];
  readonly find: (exchange: string) => ExchangeStory | undefined;
};

export const openStoryBook = (most: number): StoryBook => {
  const stories = new Map<string, ExchangeStory>();
  return {
    begin: (story) => {
      stories.set(story.exchange, story);
      const oldestExchange = stories.size > most ? stories.keys().next().value : undefined;
      if (oldestExchange !== undefined) stories.delete(oldestExchange);
    },
    add: (exchange, step) => {
      const story = stories.get(exchange);
      if (story !== undefined) stories.set(exchange, { ...story, steps: [...story.steps, step] });
    },
    all: () => [...stories.values()],
    find: (exchange) => stories.get(exchange),
  };
};
