/** Style sheet of the burn page. It contains no URLs, so that the page loads no external resources. */
export const burnPageStyle = `
:root{color-scheme:light dark;--text:#1c2430;--dim:#5d6876;--line:#d9dee5;--back:#fff;--panel:#f6f8fa;
--good:#2f7d4f;--warn:#a86400;--bad:#b3261e;--first:#3b6fb6;--second:#8a5fb0;--bar:#8fb0d9}
@media (prefers-color-scheme:dark){:root{--text:#e4e8ee;--dim:#9aa5b3;--line:#38424e;--back:#14181d;--panel:#1c2229;
--good:#5fbf86;--warn:#e0a040;--bad:#f07068;--first:#7fabe6;--second:#c09be0;--bar:#4d6f9c}}
*{box-sizing:border-box}
body{margin:0 auto;max-width:1360px;padding:24px;font:15px/1.45 system-ui,sans-serif;color:var(--text);background:var(--back)}
h1{font-size:24px;margin:0 0 4px}h2{font-size:19px;margin:36px 0 4px}p{margin:4px 0 12px;color:var(--dim)}
.missing{color:var(--bad);font-weight:600}
table{border-collapse:collapse;width:100%;font-variant-numeric:tabular-nums}
th,td{padding:6px 10px;text-align:right;border-bottom:1px solid var(--line);white-space:nowrap}
th{font-weight:600;color:var(--dim);font-size:13px}
th.text,td.text{text-align:left}
td.warm{color:var(--warn);font-weight:600}td.hot{color:var(--bad);font-weight:700}
tr.first td{border-top:1px solid var(--dim)}
.pill{display:inline-block;min-width:56px;text-align:center;padding:1px 8px;border-radius:9px;font-size:13px;font-weight:600;border:1px solid currentColor}
.pill.none{color:var(--good)}.pill.ticket{color:var(--warn)}.pill.page{color:var(--bad)}
.budget{display:inline-block;width:90px;height:9px;margin-right:8px;border-radius:3px;background:var(--line);vertical-align:middle;overflow:hidden}
.budget i{display:block;height:100%;background:var(--good)}.budget.low i{background:var(--warn)}.left{display:inline-block;min-width:56px}.budget.spent{background:var(--bad)}
.plots{display:grid;grid-template-columns:repeat(auto-fit,minmax(360px,1fr));gap:16px;margin:12px 0}
figure{margin:0;padding:10px 12px;background:var(--panel);border-radius:6px}
figcaption{font-weight:600;font-size:14px;margin-bottom:4px}
svg{display:block;width:100%;height:auto}
svg text{fill:var(--dim);font:11px system-ui,sans-serif}
.grid{stroke:var(--line)}line.bound{stroke:var(--bad);stroke-dasharray:5 4}
rect.bar{fill:var(--bar)}rect.over{fill:var(--bad)}
path{fill:none;stroke-width:1.8}path.first{stroke:var(--first)}path.second{stroke:var(--second)}circle.first{fill:var(--first)}circle.second{fill:var(--second)}
.legend{margin:2px 0 0;font-size:13px}.legend span{display:inline-block;width:12px;height:3px;margin:0 6px 3px 10px}.legend .first{background:var(--first)}.legend .second{background:var(--second)}
.legend .bound{background:none;border-top:2px dashed var(--bad);height:0}
`;
