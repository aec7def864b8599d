'use strict';
const events = [...document.querySelectorAll('.event')];
const callBox = document.getElementById('call');
const wordsBox = document.getElementById('words');
const path = document.getElementById('path');
const line = document.getElementById('line');

function isOfCall(event, call) {
  return call !== '' && event.dataset.call === call;
}

function show() {
  const call = callBox.value.trim();
  const words = wordsBox.value.trim().toLowerCase();
  const picked = events.filter((event) => isOfCall(event, call));
  for (const event of events) {
    const other = picked.length > 0 && !isOfCall(event, call);
    const lacks = !event.dataset.text.toLowerCase().includes(words);
    event.classList.toggle('dim', other || lacks);
  }
  path.replaceChildren(...picked.map((event) => {
    const item = document.createElement('li');
    item.textContent = event.dataset.text;
    return item;
  }));
  line.setAttribute('points', picked.map((event) => {
    const dot = event.querySelector('circle');
    return `${dot.getAttribute('cx')},${dot.getAttribute('cy')}`;
  }).join(' '));
}

function pick(call) {
  callBox.value = call;
  history.replaceState(null, '', `#${encodeURIComponent(call)}`);
  show();
}

for (const event of events) {
  event.addEventListener('click', () => {
    if (event.dataset.call !== '') { pick(event.dataset.call); }
  });
}
callBox.addEventListener('input', show);
wordsBox.addEventListener('input', show);
document.getElementById('clear').addEventListener('click', () => {
  wordsBox.value = '';
  pick('');
});
callBox.value = decodeURIComponent(location.hash.slice(1));
show();
const first = events.find((event) => isOfCall(event, callBox.value));
if (first) { first.scrollIntoView({ block: 'center' }); }
